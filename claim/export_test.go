package claim

// WithTakeOverOfSending makes the ledger take over rows in the state sending, as a fault that the checker must
// detect.
func WithTakeOverOfSending() Option { return func(l *Ledger) { l.takeOverSending = true } }

// WithTrustedUncertainPut makes the ledger treat an uncertain write as successful, as a fault that the checker must
// detect.
func WithTrustedUncertainPut() Option { return func(l *Ledger) { l.trustUncertainPut = true } }
