package lease

// WithoutMonotonicClock makes Valid ignore the monotonic clock, as a fault that the checker must detect.
func WithoutMonotonicClock() Option { return func(l *Lease) { l.ignoreMonotonic = true } }

// WithoutWallClock makes Valid ignore the wall clock, as a fault that the checker must detect.
func WithoutWallClock() Option { return func(l *Lease) { l.ignoreWall = true } }

// WithEarlyTakeOver makes an instance take over a lease that has not expired and act after 1 ms instead of the
// activation delay, as a fault that the checker must detect.
func WithEarlyTakeOver() Option { return func(l *Lease) { l.earlyTakeOver = true } }
