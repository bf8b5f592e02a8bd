package manifest

import "slices"

// clone returns a copy that shares no memory with m, with the customers in the order of their ids.
func (m *Manifest) clone() *Manifest {
	own := *m
	own.Models = slices.Clone(m.Models)
	for i := range own.Models {
		own.Models[i].Adapters = slices.Clone(own.Models[i].Adapters)
	}
	own.Services = slices.Clone(m.Services)
	for i := range own.Services {
		own.Services[i].NonRepeatable = slices.Clone(own.Services[i].NonRepeatable)
	}
	own.Customers = slices.Clone(m.Customers)
	for i := range own.Customers {
		c := &own.Customers[i]
		c.KeyHashes, c.Models, c.Services = slices.Clone(c.KeyHashes), slices.Clone(c.Models), slices.Clone(c.Services)
	}
	slices.SortFunc(own.Customers, byID)
	return &own
}
