package roster

import "github.com/poplarwinch/poplarwinch"

const (
	// labelKind is the label with the Kind of the endpoints in a slice.
	labelKind = "poplarwinch/kind"
	// labelName is the label with their pool or service name.
	labelName = "poplarwinch/name"
)

// endpointSliceList is a Kubernetes EndpointSliceList, as far as it is used here.
type endpointSliceList struct {
	Kind     string `json:"kind"`
	Metadata struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"metadata"`
	Items []endpointSlice `json:"items"`
}

type endpointSlice struct {
	Metadata struct {
		Name            string            `json:"name"`
		ResourceVersion string            `json:"resourceVersion"`
		Labels          map[string]string `json:"labels"`
	} `json:"metadata"`
	Endpoints []sliceEndpoint `json:"endpoints"`
	Ports     []slicePort     `json:"ports"`
}

type sliceEndpoint struct {
	Addresses  []string `json:"addresses"`
	Conditions struct {
		Ready       *bool `json:"ready"`
		Serving     *bool `json:"serving"`
		Terminating *bool `json:"terminating"`
	} `json:"conditions"`
	TargetRef *struct {
		Name string `json:"name"`
		UID  string `json:"uid"`
	} `json:"targetRef"`
	Zone string `json:"zone"`
}

type slicePort struct {
	Name string `json:"name"`
	Port int    `json:"port"`
}

// endpoints returns the endpoints of all slices, each once.
func (l *endpointSliceList) endpoints() []Endpoint {
	var list []Endpoint
	// An endpoint can be in several slices for a short time while the platform moves it from one to another.
	indexByID := map[string]int{}
	for _, s := range l.Items {
		ports := make(map[string]int, len(s.Ports))
		for _, p := range s.Ports {
			ports[p.Name] = p.Port
		}
		for _, e := range s.Endpoints {
			if len(e.Addresses) == 0 {
				continue
			}
			endpoint := e.endpoint(s.Metadata.Labels, ports)
			if i, ok := indexByID[endpoint.ID]; ok {
				// The copy that reports termination is the newer one, since termination is final.
				if endpoint.Terminating {
					list[i] = endpoint
				}
				continue
			}
			indexByID[endpoint.ID] = len(list)
			list = append(list, endpoint)
		}
	}
	return list
}

// endpoint converts an entry of a slice that has the given labels and ports.
func (e *sliceEndpoint) endpoint(labels map[string]string, ports map[string]int) Endpoint {
	// The API defines an absent "ready" as true, "serving" as equal to "ready", and "terminating" as false.
	ready := valueOr(e.Conditions.Ready, true)
	converted := Endpoint{
		Kind: Kind(labels[labelKind]), Name: labels[labelName], IP: e.Addresses[0], Ports: ports,
		FailureDomain: poplarwinch.FailureDomain(e.Zone), Ready: ready,
		Serving: valueOr(e.Conditions.Serving, ready), Terminating: valueOr(e.Conditions.Terminating, false),
	}
	// A replacement can reuse the name, but not the UID.
	switch {
	case e.TargetRef != nil && e.TargetRef.UID != "":
		converted.ID = e.TargetRef.UID
	case e.TargetRef != nil && e.TargetRef.Name != "":
		converted.ID = e.TargetRef.Name
	default:
		for _, p := range []string{PortHTTP, PortPeer, PortCaller} {
			if converted.ID == "" {
				converted.ID = converted.Address(p)
			}
		}
	}
	return converted
}

// valueOr returns the value of a condition, or absent if it is not set.
func valueOr(condition *bool, absent bool) bool {
	if condition == nil {
		return absent
	}
	return *condition
}
