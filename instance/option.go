package instance

import (
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
)

// Option configures an Instance.
type Option func(*Instance)

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option { return func(i *Instance) { i.clock = c } }

// WithLog sets the logger; the default is log.Log.
func WithLog(l log.Interface) Option { return func(i *Instance) { i.log = l } }

// WithVersion sets the program version that the status reports.
func WithVersion(version string) Option { return func(i *Instance) { i.version = version } }

// WithEngines sets the client of the model engines; the default is one with default timeouts.
func WithEngines(c *engine.Client) Option { return func(i *Instance) { i.engines = c } }
