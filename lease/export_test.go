package lease

// WithoutMonotonic makes Valid ignore the monotonic clock, which breaks the mechanism.
func WithoutMonotonic() Option { return func(l *Lease) { l.ignoreMonotonic = true } }

// WithoutWall makes Valid ignore the wall clock, which breaks the mechanism.
func WithoutWall() Option { return func(l *Lease) { l.ignoreWall = true } }

// WithTakeEarly makes the lease be taken over before it has expired, which breaks the mechanism.
func WithTakeEarly() Option { return func(l *Lease) { l.takeEarly = true } }
