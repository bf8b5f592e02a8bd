// Package manifest defines the manifest of a deployment: its strict parsing, validation, sections and compiled index.
package manifest

// MaxBytes bounds the size of a manifest document. The design scale of 4,400 customers needs about 1 MB.
const MaxBytes = 4 << 20

// Manifest is the configuration of one deployment as operators commit it.
type Manifest struct {
	// Service names the deployment; instances refuse the manifest of another one.
	Service string `json:"service"`
	// FinalDate is the last day of service.
	FinalDate Date       `json:"final-date"`
	Limits    Limits     `json:"limits"`
	Models    []Model    `json:"models"`
	Customers []Customer `json:"customers"`
	Services  []Service  `json:"services,omitempty"`
	Engines   Engines    `json:"engines"`
}

// Parse reads and validates a manifest document; the error is an *InvalidError that lists every problem.
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
