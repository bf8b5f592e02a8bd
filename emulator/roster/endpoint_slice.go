package roster

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type endpointSliceList struct {
	Kind       string           `json:"kind"`
	APIVersion string           `json:"apiVersion"`
	Metadata   listMetadata     `json:"metadata"`
	Items      []*endpointSlice `json:"items"`
}

type endpointSlice struct {
	Metadata    sliceMetadata   `json:"metadata"`
	AddressType string          `json:"addressType"`
	Endpoints   []sliceEndpoint `json:"endpoints"`
	Ports       []port          `json:"ports"`
}

type listMetadata struct {
	ResourceVersion string `json:"resourceVersion"`
}

type sliceMetadata struct {
	Name            string            `json:"name"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Labels          map[string]string `json:"labels"`
}

type sliceEndpoint struct {
	Addresses  []string   `json:"addresses"`
	Conditions conditions `json:"conditions"`
	TargetRef  targetRef  `json:"targetRef"`
	Zone       string     `json:"zone"`
}

type conditions struct {
	Ready       bool `json:"ready"`
	Serving     bool `json:"serving"`
	Terminating bool `json:"terminating"`
}

type targetRef struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	UID  string `json:"uid"`
}

type port struct {
	Name string `json:"name"`
	Port int    `json:"port"`
}

// newEndpointSliceList groups endpoints into slices with the same kind, name and ports, as the protocol requires.
func newEndpointSliceList(endpoints []Endpoint) endpointSliceList {
	l := endpointSliceList{Kind: "EndpointSliceList", APIVersion: "discovery.k8s.io/v1", Items: []*endpointSlice{}}
	groups := map[string]*endpointSlice{}
	for _, e := range endpoints {
		// fmt prints maps in the order of their keys.
		group := fmt.Sprint(e.Kind, "-", e.Name, "-", e.Ports)
		s := groups[group]
		if s == nil {
			s = &endpointSlice{AddressType: "IPv4", Metadata: sliceMetadata{
				Name:   fmt.Sprintf("%s-%s-%08x", e.Kind, e.Name, uint32(xxhash.Sum64String(group))),
				Labels: map[string]string{"poplarwinch/kind": e.Kind, "poplarwinch/name": e.Name},
			}}
			for _, name := range slices.Sorted(maps.Keys(e.Ports)) {
				s.Ports = append(s.Ports, port{Name: name, Port: e.Ports[name]})
			}
			groups[group] = s
			l.Items = append(l.Items, s)
		}
		s.Endpoints = append(s.Endpoints, sliceEndpoint{
			Addresses: []string{e.IP}, Zone: e.FailureDomain,
			TargetRef: targetRef{Kind: "Pod", Name: e.ID, UID: e.ID},
			Conditions: conditions{
				Ready: !e.NotReady && !e.Terminating, Serving: !e.NotReady && !e.NotServing, Terminating: e.Terminating,
			},
		})
	}
	return l
}
