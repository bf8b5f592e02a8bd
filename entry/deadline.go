package entry

import (
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// timeoutHeader carries the caller's time limit for the whole request in milliseconds.
const timeoutHeader = "Request-Timeout-Ms"

// timeout returns the time limit of a request: the caller's, or fallback without one, at most limit.
func timeout(r *http.Request, fallback, limit clock.Millis) (clock.Millis, error) {
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return min(fallback, limit), nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 1 || clock.Millis(value) > limit {
		return 0, &poplarwinch.Error{
			Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Param: timeoutHeader,
			Message: timeoutHeader + " is not a whole number of milliseconds between 1 and " + strconv.FormatInt(int64(limit), 10),
			Remedy:  "send a value in that range or omit the header",
		}
	}
	return clock.Millis(value), nil
}
