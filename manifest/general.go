package manifest

// generalSection is the body of the section that holds the fields outside models, services and customers.
type generalSection struct {
	Service   string  `json:"service"`
	FinalDate Date    `json:"final-date"`
	Limits    Limits  `json:"limits"`
	Engines   Engines `json:"engines"`
}
