package fleet

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Option configures a Fleet.
type Option func(*Fleet)

// WithClock sets the clock; the default is monotonic.
func WithClock(c *clock.Clock) Option { return func(f *Fleet) { f.clock = c } }

// WithNotify sets the function that is called after the load or reachability of a server has changed at this instance.
func WithNotify(onChange func(r Reach)) Option { return func(f *Fleet) { f.onChange = onChange } }

// WithInstance sets the id of this instance.
func WithInstance(id poplarwinch.InstanceID) Option { return func(f *Fleet) { f.instance = id } }

// WithWallClock sets the clock by which the start times of servers are judged; the default is the machine's.
func WithWallClock(c *clock.Clock) Option { return func(f *Fleet) { f.wallClock = c } }

// WithColdBound sets the bound for the requests to a cold server in any second. A bound without Over is ignored.
func WithColdBound(b ColdBound) Option {
	return func(f *Fleet) {
		if b.Over > 0 {
			f.coldBound = b
		}
	}
}

// WithCellMembers sets the function that returns the instances of the own cell that were known in the last 30 s. It must not call the
// fleet. Without it, the instance counts as the only one.
func WithCellMembers(members func() []poplarwinch.InstanceID) Option {
	return func(f *Fleet) { f.cellMembers = members }
}

// WithOnCold sets the function that is called, with the next report to peers, with the servers that have become cold or ceased to be.
func WithOnCold(onCold func([]ColdChange)) Option { return func(f *Fleet) { f.onCold = onCold } }

// WithDomain sets the failure domain of this instance.
func WithDomain(name poplarwinch.FailureDomain) Option {
	return func(f *Fleet) { f.domain = name }
}
