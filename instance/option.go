package instance

import (
	"github.com/apex/log"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
)

// Option configures an Instance.
type Option func(*Instance)

// WithClock sets the clock; the default is the system's.
func WithClock(c *clock.Clock) Option { return func(i *Instance) { i.clock = c } }

// WithLog sets the logger; the default is the package log's.
func WithLog(l log.Interface) Option { return func(i *Instance) { i.log = l } }

// WithVersion sets the program version that the status reports.
func WithVersion(version string) Option { return func(i *Instance) { i.version = version } }

// WithEngines sets the client for model engines; the default is one with default time limits.
func WithEngines(c *engine.Client) Option { return func(i *Instance) { i.engines = c } }
