package entry

import (
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// timeoutHeader holds the time limit in milliseconds that the caller sets for the whole request.
const timeoutHeader = "Request-Timeout-Ms"

// resumeTimeout returns the caller's time limit for a resumed stream, shortened to the time for which the stream may still
// run: callers send the same limit with each request.
func resumeTimeout(r *http.Request, remaining, limit clock.Millis) (clock.Millis, error) {
	timeout, err := requestTimeout(r, remaining, max(limit, remaining))
	return min(timeout, remaining), err
}

// requestTimeout returns the caller's time limit, which must not exceed limit. Without a header it returns fallback,
// reduced to limit.
func requestTimeout(r *http.Request, fallback, limit clock.Millis) (clock.Millis, error) {
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
