package manifest

// general holds the fields of a manifest that no other section has.
type general struct {
	Service   string  `json:"service"`
	FinalDate Date    `json:"final-date"`
	Limits    Limits  `json:"limits"`
	Engines   Engines `json:"engines"`
}
