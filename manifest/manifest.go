// Package manifest defines the manifest of a deployment. It parses and validates manifests, splits them into sections and
// compiles them into an index.
package manifest

// MaxBytes is the maximum size of a manifest document in bytes. The design scale of 4,400 customers needs about 1 MB.
const MaxBytes = 4 << 20

// Manifest is the configuration of a deployment that operators commit.
type Manifest struct {
	// Service is the name of the deployment; instances reject manifests of other deployments.
	Service string `json:"service"`
	// FinalDate is the last day on which the deployment serves.
	FinalDate Date       `json:"final-date"`
	Limits    Limits     `json:"limits"`
	Models    []Model    `json:"models"`
	Customers []Customer `json:"customers"`
	Services  []Service  `json:"services,omitempty"`
	Engines   Engines    `json:"engines"`
}

// Parse decodes and validates a manifest document. The error is an *InvalidError that lists every problem of the structure
// or, if there is none, every problem of the values.
func Parse(data []byte) (*Manifest, error) {
	m := &Manifest{}
	if err := decode(data, m); err != nil {
		return nil, err
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}
	return m, nil
}
