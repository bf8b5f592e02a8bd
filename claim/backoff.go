package claim

import "github.com/poplarwinch/poplarwinch/clock"

const (
	// pollFirst and pollMax are the waits between reads of a row that another attempt has.
	pollFirst clock.Millis = 200
	pollMax   clock.Millis = 2000
	// repeatFirst and repeatMax are the waits between repeats of an uncertain write.
	repeatFirst clock.Millis = 200
	repeatMax   clock.Millis = 5000
)

// backoff returns waits that grow by half each time.
type backoff struct{ last clock.Millis }

func (b *backoff) next(first, limit clock.Millis) clock.Millis {
	b.last = min(max(first, b.last*3/2), limit)
	return b.last
}
