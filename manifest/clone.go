package manifest

import "slices"

// clone returns a deep copy of m with the customers sorted by id.
func (m *Manifest) clone() *Manifest {
	copied := *m
	copied.Models = slices.Clone(m.Models)
	for i := range copied.Models {
		copied.Models[i].Adapters = slices.Clone(copied.Models[i].Adapters)
	}
	copied.Services = slices.Clone(m.Services)
	for i := range copied.Services {
		copied.Services[i].NonRepeatable = slices.Clone(copied.Services[i].NonRepeatable)
	}
	copied.Customers = slices.Clone(m.Customers)
	for i := range copied.Customers {
		c := &copied.Customers[i]
		c.KeyHashes, c.Models, c.Services = slices.Clone(c.KeyHashes), slices.Clone(c.Models), slices.Clone(c.Services)
	}
	slices.SortFunc(copied.Customers, byID)
	return &copied
}
