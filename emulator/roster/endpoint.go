package roster

// Endpoint is one instance of the list, in the form of PUT /endpoints.
type Endpoint struct {
	ID string `json:"id"`
	// Kind is "engine", "service" or "entry".
	Kind string `json:"kind"`
	// Name is the pool of an engine or the name of a service.
	Name string `json:"name"`
	IP   string `json:"ip"`
	// Ports are port numbers by name: "http" for engines and services, "caller" and "peer" for entries.
	Ports         map[string]int `json:"ports"`
	FailureDomain string         `json:"failure-domain"`
	NotReady      bool           `json:"not-ready,omitempty"`
	// Terminating endpoints are not ready; they serve unless NotServing is set.
	Terminating bool `json:"terminating,omitempty"`
	NotServing  bool `json:"not-serving,omitempty"`
}
