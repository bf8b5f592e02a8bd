package quarantine

// Verdict says whether and how a request may run.
type Verdict string

// The verdicts.
const (
	// VerdictAllow means that the request is not a suspect.
	VerdictAllow Verdict = "allow"
	// VerdictIsolate means that the request is a suspect and may run only on an engine without another suspect.
	VerdictIsolate Verdict = "isolate"
	// VerdictReject means that the request has crashed two engines and must not run.
	VerdictReject Verdict = "reject"
)
