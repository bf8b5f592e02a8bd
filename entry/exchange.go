package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/clientlimit"
	"github.com/poplarwinch/poplarwinch/internal/earlyresponse"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// requestIDHeader holds the id of the request in both directions.
	requestIDHeader = "Request-Id"
	// maxRequestIDBytes bounds an id that the caller chose.
	maxRequestIDBytes = 64
	// errorGrace is the time for sending an answer or an error after the request's deadline.
	errorGrace = 2 * time.Second
)

// exchange is a request in progress and its response.
type exchange struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	id       poplarwinch.RequestID
	index    *manifest.Index
	customer *manifest.Customer
	started  time.Time
	deadline time.Time
	log      *log.Entry
	// bodyRead is set once the whole request body has been read.
	bodyRead bool
	// headerSent is set once the response headers have been written. An error can no longer replace the answer then.
	headerSent bool
	// answerBytes is the size of the buffered answer, and answerTaken the part that counts for the memory of answers.
	answerBytes, answerTaken int64
	// events writes the answer if the caller asked for a stream; it is nil otherwise.
	events *eventWriter
	// The fields below are logged at the end of the request.
	class      string
	upstreamID poplarwinch.UpstreamID
	attempts   int
	firstToken clock.Millis
}

// handle wraps a handler that needs an authenticated customer.
func (s *Server) handle(serve func(context.Context, *exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{server: s, writer: w, request: r, started: time.Now(), id: requestID(r)}
		x.log = s.log.WithField("request-id", x.id)
		w.Header().Set(requestIDHeader, string(x.id))
		if !s.beginRequest() {
			x.finish(stoppingError())
			return
		}
		defer s.endRequest()
		defer x.releaseAnswer()
		x.finish(x.serveSafely(serve))
	}
}

// serveSafely is authenticateAndServe, with a panic as an error. A panic with http.ErrAbortHandler closes the connection on purpose.
func (x *exchange) serveSafely(serve func(context.Context, *exchange) error) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause == http.ErrAbortHandler {
			panic(cause)
		}
		x.log.WithFields(log.Fields{"cause": fmt.Sprint(cause), "stack": string(debug.Stack())}).Error("request handler panicked")
		err = &poplarwinch.Error{
			Kind: poplarwinch.KindInternal, Outcome: poplarwinch.OutcomeUnknown, Message: "internal error", Remedy: "report the request id",
		}
	}()
	return x.authenticateAndServe(serve)
}

// authenticateAndServe authenticates the caller and serves the request if the instance can serve requests.
func (x *exchange) authenticateAndServe(serve func(context.Context, *exchange) error) error {
	s := x.server
	if x.index = s.activeManifest(); x.index == nil {
		return &poplarwinch.Error{
			Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second,
			Message: "this instance has no manifest yet", Remedy: "retry later",
		}
	}
	if x.index.Ended(s.clock.Now()) {
		return &poplarwinch.Error{
			Kind: poplarwinch.KindGone, Outcome: poplarwinch.OutcomeNotRun,
			Message: "the service ended on its final date", Remedy: "do not retry",
		}
	}
	if s.inFlight.Load() > s.limits.MaxRequests {
		return &poplarwinch.Error{
			Kind: poplarwinch.KindOverloaded, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: clock.Second,
			Message: "this instance has reached its limit of concurrent requests", Remedy: "retry later",
		}
	}
	customer, ok := x.index.Authenticate(bearerKey(x.request))
	if !ok {
		return &poplarwinch.Error{
			Kind: poplarwinch.KindUnauthorized, Outcome: poplarwinch.OutcomeNotRun, Param: "Authorization",
			Message: "the API key is missing or unknown", Remedy: "send Authorization: Bearer KEY with a key of the manifest",
		}
	}
	x.customer = customer
	x.log = x.log.WithField("customer", string(customer.ID))
	return serve(x.request.Context(), x)
}

// withDeadline sets the deadline from the caller's time limit, and returns a context that ends then.
func (x *exchange) withDeadline(ctx context.Context, fallback, maximum clock.Millis) (context.Context, context.CancelFunc, error) {
	timeLimit, err := requestTimeout(x.request, fallback, maximum)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := x.withTimeLimit(ctx, timeLimit)
	return ctx, cancel, nil
}

// withTimeLimit sets the deadline and returns a context that ends then.
func (x *exchange) withTimeLimit(ctx context.Context, limit clock.Millis) (context.Context, context.CancelFunc) {
	x.deadline = x.started.Add(limit.Duration())
	return context.WithDeadline(ctx, x.deadline)
}

// readBody reads the whole request body. The returned release function gives its memory back to the budget.
func (x *exchange) readBody(ctx context.Context) (body []byte, release func(), err error) {
	defer clientlimit.Uploading(x.request.Context())()
	body, release, err = x.server.bodies.read(ctx, x.writer, x.request)
	x.bodyRead = err == nil
	return body, release, err
}

// finish logs the end of the request and reports a failure to the caller. It aborts the connection where the caller
// could otherwise take a partial answer for a complete one.
func (x *exchange) finish(err error) {
	var failure *poplarwinch.Error
	if err != nil {
		failure = poplarwinch.AsError(err, poplarwinch.OutcomeFailed)
	}
	x.recordEnd(failure)
	if failure == nil {
		return
	}
	// A caller that seems to have disconnected may have closed its side of the connection only.
	if x.headerSent {
		if x.events == nil || x.events.writeErrorEvent(encodeError(failure)) != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	x.writeError(failure)
}

// writeError sends the error response. If the request body was not read, it does not wait for the rest of it.
func (x *exchange) writeError(failure *poplarwinch.Error) {
	control := http.NewResponseController(x.writer)
	deadline := time.Now().Add(errorGrace)
	if err := control.SetWriteDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	if !x.bodyRead && x.request.ContentLength != 0 {
		defer earlyresponse.Begin(x.writer, x.request, x.server.bodies.maxBody, errorGrace)()
	}
	writeError(x.writer, failure)
}

func stoppingError() *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun, RetryAfter: 100,
		Message: "this instance is shutting down", Remedy: "retry on a new connection",
	}
}

// requestID returns the caller's request id if it is short and consists of letters, digits, '-', '_' and '.', and a
// random one otherwise.
func requestID(r *http.Request) poplarwinch.RequestID {
	id := r.Header.Get(requestIDHeader)
	allowed := func(c rune) bool {
		return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
	}
	if id != "" && len(id) <= maxRequestIDBytes && strings.IndexFunc(id, func(c rune) bool { return !allowed(c) }) < 0 {
		return poplarwinch.RequestID(id)
	}
	return poplarwinch.RequestID(randomHex(12))
}

func randomHex(n int) string {
	data := make([]byte, n)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// bearerKey returns the API key of the Authorization header, or an empty string.
func bearerKey(r *http.Request) string {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
