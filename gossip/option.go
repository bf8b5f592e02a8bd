package gossip

import (
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

// Option configures a Gossip.
type Option func(*Gossip)

// WithFleet sets the fleet whose reports and summaries are exchanged with peers.
func WithFleet(f *fleet.Fleet) Option { return func(g *Gossip) { g.fleet = f } }

// WithSuspects sets the register of requests that crash servers, which is exchanged with peers.
func WithSuspects(r *quarantine.Register) Option { return func(g *Gossip) { g.suspects = r } }

// WithReplicas sets the table replicas that are kept in sync with peers, by table name.
func WithReplicas(replicas map[string]*replica.Replica) Option {
	return func(g *Gossip) { g.replicas = replicas }
}

// WithClock sets the clock; the default is monotonic.
func WithClock(c *clock.Clock) Option { return func(g *Gossip) { g.clock = c } }

// WithLog sets the log; the default is apex/log's default logger.
func WithLog(l log.Interface) Option { return func(g *Gossip) { g.log = l } }

// WithBoot sets the number that distinguishes successive processes of an instance and should grow with each; the default is the
// wall clock's time in ns.
func WithBoot(n int64) Option { return func(g *Gossip) { g.boot = n } }
