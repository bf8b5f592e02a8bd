package roster

import "github.com/poplarwinch/poplarwinch"

const (
	labelKind = "poplarwinch/kind"
	labelName = "poplarwinch/name"
)

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

func (l *endpointSliceList) endpoints() []Endpoint {
	var list []Endpoint
	// An endpoint can be in several slices for a short time while the platform moves it.
	seen := map[string]int{}
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
			if i, ok := seen[endpoint.ID]; ok {
				// The copy that reports termination is the newer one, since termination is final.
				if endpoint.Terminating {
					list[i] = endpoint
				}
				continue
			}
			seen[endpoint.ID] = len(list)
			list = append(list, endpoint)
		}
	}
	return list
}

func (e *sliceEndpoint) endpoint(labels map[string]string, ports map[string]int) Endpoint {
	// The protocol defines an absent "ready" as true, "serving" as equal to "ready", "terminating" as false.
	ready := value(e.Conditions.Ready, true)
	r := Endpoint{
		Kind: Kind(labels[labelKind]), Name: labels[labelName], IP: e.Addresses[0], Ports: ports,
		FailureDomain: poplarwinch.FailureDomain(e.Zone), Ready: ready,
		Serving: value(e.Conditions.Serving, ready), Terminating: value(e.Conditions.Terminating, false),
	}
	// Names can be reused by a replacement, uids are not.
	switch {
	case e.TargetRef != nil && e.TargetRef.UID != "":
		r.ID = e.TargetRef.UID
	case e.TargetRef != nil && e.TargetRef.Name != "":
		r.ID = e.TargetRef.Name
	default:
		for _, p := range []string{PortHTTP, PortPeer, PortCaller} {
			if r.ID == "" {
				r.ID = r.Address(p)
			}
		}
	}
	return r
}

func value(b *bool, absent bool) bool {
	if b == nil {
		return absent
	}
	return *b
}
