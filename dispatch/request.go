// Package dispatch runs requests with opaque bodies: it chooses the servers of each attempt, repeats what may be repeated,
// resumes broken streams and settles what the caller is told. Front doors decode requests, and upstream clients send calls.
package dispatch

import (
	"net/http"
	"net/url"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/route"
)

// Request is one request of a caller.
type Request struct {
	ID       poplarwinch.RequestID
	Customer poplarwinch.CustomerID
	Service  poplarwinch.ServiceName
	Route    *route.Route
	// Method, URL, Host, Header and Body are forwarded as they came; Header lacks what concerns one connection only.
	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	Body   []byte
	// Prompt and Answer are token counts; zero for requests to plain services.
	Prompt poplarwinch.Tokens
	Answer poplarwinch.Tokens
	// After is the id of the last event that the caller has, if it resumes a stream.
	After string
	// Started is the time of arrival, on the dispatcher's clock.
	Started clock.Millis
	// Deadline is the time at which the caller stops waiting, on the dispatcher's clock.
	Deadline clock.Millis
	// Fingerprint identifies repeats of the request.
	Fingerprint quarantine.Fingerprint
}

// Helper is an engine that reads a part of a prompt for another one.
type Helper struct {
	fleet.Server
	// Reservation names the memory on the engine that keeps a part of the prompt; it may be empty.
	Reservation engine.ReservationID
}

// Call is one attempt to run a request on a server.
type Call struct {
	*Request
	Server fleet.Server
	// Helpers are engines that read parts of the prompt for Server. Server itself is the first of them if memory is
	// reserved on it.
	Helpers []Helper
	// Left is the time that the caller still waits.
	Left time.Duration
	// Resume is the id of the last event that was forwarded; empty when the answer starts from its beginning.
	Resume string
}
