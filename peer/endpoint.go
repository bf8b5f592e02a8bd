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

// Endpoint is one instance's side of the calls between instances. The function fields connect it
// to the data that the calls carry; they may be nil and are set before the first call.
type Endpoint struct {
	// Observations returns all current observations of the domain's upstreams.
	Observations func() []Observation
	// MergeObservations takes over observations of a peer.
	MergeObservations func(observations []Observation)
	// Suspects returns all current suspects.
	Suspects func() []Suspect
	// MergeSuspects takes over suspects of a peer.
	MergeSuspects func(suspects []Suspect)
	// OfferVersion takes note of the manifest version that a peer runs.
	OfferVersion func(ctx context.Context, version uint64, digest string)
	// ServeManifest answers a peer's query; an *poplarwinch.Error of kind not-found means that the version is not known here.
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
	suspectHashes map[poplarwinch.InstanceID]uint64 // of the suspects that a peer last reported
}

// Option configures an Endpoint.
type Option func(*Endpoint)

// WithSecret sets the secret that calls carry and that incoming calls must carry. Further
// accepted secrets serve rotation and calls from other domains.
func WithSecret(secret string, accepted ...string) Option {
	return func(e *Endpoint) { e.secret, e.accepted = secret, append(accepted, secret) }
}

// WithTLS makes the endpoint serve and call over TLS; without it calls are cleartext HTTP/2.
func WithTLS(config *tls.Config) Option {
	return func(e *Endpoint) { e.tls = config }
}

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option {
	return func(e *Endpoint) { e.clock = c }
}

// WithMembers connects the endpoint with the membership in both directions.
func WithMembers(m *membership.Members) Option {
	return func(e *Endpoint) {
		e.members = m
		m.Probe, m.ProbeVia, m.Exchange = e.Probe, e.ProbeVia, e.Exchange
	}
}

// WithLog sets the log for failures of incoming connections; the default is apex/log's own.
func WithLog(l log.Interface) Option {
	return func(e *Endpoint) { e.log = l }
}

// New returns an endpoint.
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
			Message: "no secret for the calls between instances", Remedy: "set the secret that all instances share",
		}
	}
	if e.members == nil {
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun,
			Message: "no membership for the calls between instances", Remedy: "pass WithMembers",
		}
	}
	e.handler = e.newHandler()
	return e, nil
}

// Handler returns the handler of the calls.
func (e *Endpoint) Handler() http.Handler { return e.handler }

// Close closes the idle connections to peers.
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
		connect.WithCompression("gzip", nil, nil), // a small message could expand beyond the limit
	}
}

func (e *Endpoint) clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithCodec(e.codec), connect.WithReadMaxBytes(messageLimit), connect.WithAcceptCompression("gzip", nil, nil),
	}
}
