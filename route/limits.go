package route

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Limits bound the size of requests and the time that connections are kept open for them.
type Limits struct {
	MaxHeader poplarwinch.Bytes
	MaxBody   poplarwinch.Bytes
	// HeaderTimeout is the time limit for receiving the headers of a request.
	HeaderTimeout clock.Millis
	// IdleTimeout is the time after which an idle connection of a caller is closed.
	IdleTimeout clock.Millis
}
