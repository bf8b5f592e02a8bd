package claim

// WithTakeOver makes the ledger take over rows in the state sending, which breaks the mechanism.
func WithTakeOver() Option { return func(l *Ledger) { l.takeOverSending = true } }

// WithTrust makes the ledger treat an uncertain write as a successful one, which breaks the mechanism.
func WithTrust() Option { return func(l *Ledger) { l.trustUncertainPut = true } }
