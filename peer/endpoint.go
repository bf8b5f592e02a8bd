package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/codec"
	"github.com/poplarwinch/poplarwinch/membership"
)

// Endpoint is the client and server of one instance for the calls between instances. The function
// fields give access to the data that the calls carry; they may be nil and must be set before the first call.
type Endpoint struct {
	// Observations returns all current observations of the domain's upstreams.
	Observations func() []Observation
	// MergeObservations merges the observations of a peer.
	MergeObservations func(observations []Observation)
	// Suspects returns all current suspects.
	Suspects func() []Suspect
	// MergeSuspects merges the suspects of a peer.
	MergeSuspects func(suspects []Suspect)
	// OnPeerVersion is called with the version and digest of the manifest that a peer reports.
	OnPeerVersion func(ctx context.Context, version uint64, digest string)
	// ServeManifest answers a peer's query. It returns a *poplarwinch.Error of kind not-found if this
	// instance does not have the version.
	ServeManifest func(ctx context.Context, query ManifestQuery) (ManifestPart, error)

	clock    *clock.Clock
	log      log.Interface
	secret   string
	accepted []string
	tls      *tls.Config
	members  *membership.Members
	codec    codec.CBOR
	handler  http.Handler
	traffic  Traffic

	mutex         sync.Mutex
	links         map[string]*link
	suspectHashes map[poplarwinch.InstanceID]uint64 // by peer: the hash of the suspects that it last reported
}

// Option configures an Endpoint.
type Option func(*Endpoint)

// WithSecret sets the secret that outgoing calls carry. Incoming calls must carry it or one of the
// further accepted secrets, which allow rotation and calls from domains with another secret.
func WithSecret(secret string, accepted ...string) Option {
	return func(e *Endpoint) { e.secret, e.accepted = secret, append(accepted, secret) }
}

// WithTLS makes the endpoint serve and call over TLS; the default, and a nil config, is cleartext HTTP/2.
func WithTLS(config *tls.Config) Option {
	return func(e *Endpoint) { e.tls = config }
}

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option {
	return func(e *Endpoint) { e.clock = c }
}

// WithMembers sets the membership that answers incoming calls, and makes it send its own calls over the endpoint.
func WithMembers(m *membership.Members) Option {
	return func(e *Endpoint) {
		e.members = m
		m.Probe, m.ProbeVia, m.Exchange = e.Probe, e.ProbeVia, e.Exchange
	}
}

// WithLog sets the log for failures of incoming connections; the default is apex/log's standard logger.
func WithLog(l log.Interface) Option {
	return func(e *Endpoint) { e.log = l }
}

// New returns an endpoint. WithSecret and WithMembers are required.
func New(opts ...Option) (*Endpoint, error) {
	c, err := codec.NewCBOR()
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		clock: clock.System(), log: log.Log, codec: c, links: map[string]*link{},
		suspectHashes: map[poplarwinch.InstanceID]uint64{},
	}
	for _, o := range opts {
		o(e)
	}
	if e.secret == "" {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun,
			Message: "no secret for calls between instances", Remedy: "set the secret that all instances share",
		}
	}
	if e.members == nil {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun,
			Message: "no membership for calls between instances", Remedy: "pass WithMembers",
		}
	}
	e.handler = e.newHandler()
	return e, nil
}

// Handler returns the HTTP handler for incoming calls.
func (e *Endpoint) Handler() http.Handler { return e.handler }

// Close drops all links and closes their idle connections.
func (e *Endpoint) Close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for address, l := range e.links {
		l.transport.Load().CloseIdleConnections()
		delete(e.links, address)
	}
}

func (e *Endpoint) handlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(e.codec), connect.WithReadMaxBytes(messageLimit),
		connect.WithCompression("gzip", nil, nil), // no compression: a small message could expand beyond the limit
	}
}

func (e *Endpoint) clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithCodec(e.codec), connect.WithReadMaxBytes(messageLimit), connect.WithAcceptCompression("gzip", nil, nil),
	}
}
