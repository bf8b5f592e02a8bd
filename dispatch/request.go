// Package dispatch runs requests with opaque bodies: it selects the servers of each attempt, retries what may be repeated,
// resumes broken streams and determines the error for the caller. Other packages decode the requests and send the calls.
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
	// CustomerRegions are the regions that the customer allows; empty allows all.
	CustomerRegions []route.Region
	Service         poplarwinch.ServiceName
	Route           *route.Route
	// Priority is nil if all requests of the service have the same priority.
	Priority *route.Priority
	// Method, URL, Host, Header and Body are forwarded unchanged. Header has no hop-by-hop headers.
	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	Body   []byte
	// PromptTokens is the number of prompt tokens; zero for plain services.
	PromptTokens poplarwinch.Tokens
	// MaxAnswerTokens is the largest number of tokens to generate; zero for plain services.
	MaxAnswerTokens poplarwinch.Tokens
	// Model is the name of the model; empty for plain services.
	Model poplarwinch.ModelName
	// SharedParts are the parts of the prompt that other requests may have in common, in order.
	SharedParts []poplarwinch.PromptPartID
	// UnidentifiedParts is the number of such parts beyond poplarwinch.MaxSharedParts.
	UnidentifiedParts int
	// LastEventID is the id of the last event that the caller has received, if it resumes a stream.
	LastEventID string
	// Started is the arrival time, on the dispatcher's clock.
	Started clock.Millis
	// Deadline is the time at which the caller stops waiting, on the dispatcher's clock.
	Deadline clock.Millis
	// Fingerprint is the same for repeats of the request.
	Fingerprint quarantine.Fingerprint
}

// Helper is an engine that prefills part of a prompt for another engine.
type Helper struct {
	fleet.Server
	// Reservation is the id of the memory reserved on the engine for its part of the prompt; it may be empty.
	Reservation engine.ReservationID
}

// Call is one attempt to run a request on a server.
type Call struct {
	*Request
	Server fleet.Server
	// Helpers are the engines that prefill parts of the prompt for Server. Server itself is the first of them if memory is
	// reserved on it.
	Helpers []Helper
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// ResumeAfter is the id of the last event that the caller has received; empty if the response starts from its beginning.
	ResumeAfter string
}
