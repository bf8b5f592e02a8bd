package roster

// Endpoint is an entry of the list in the format of PUT /endpoints.
type Endpoint struct {
	ID string `json:"id"`
	// Kind is "engine", "service" or "entry".
	Kind string `json:"kind"`
	// Name is the name of the engine's pool or of the service.
	Name string `json:"name"`
	IP   string `json:"ip"`
	// Ports maps port names to numbers: "http" for engines and services, "caller" and "peer" for entries.
	Ports         map[string]int `json:"ports"`
	FailureDomain string         `json:"failure-domain"`
	NotReady      bool           `json:"not-ready,omitempty"`
	// Terminating endpoints are not ready. They are serving unless NotServing or NotReady is set.
	Terminating bool `json:"terminating,omitempty"`
	NotServing  bool `json:"not-serving,omitempty"`
}
