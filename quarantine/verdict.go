package quarantine

// Verdict says how a request may run.
type Verdict string

// The verdicts.
const (
	// VerdictAllow means that nothing is known against the request.
	VerdictAllow Verdict = "allow"
	// VerdictIsolate means that the request is a suspect and may run only where no other suspect runs.
	VerdictIsolate Verdict = "isolate"
	// VerdictReject means that the request crashed two engines and must not run.
	VerdictReject Verdict = "reject"
)
