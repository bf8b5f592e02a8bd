package manifest

import (
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Index is a compiled manifest with lookups. It is immutable: callers must not modify what its fields and results point
// to.
type Index struct {
	Version  Version
	Digest   string
	Manifest *Manifest

	end       clock.Millis
	keys      keyring
	customers map[poplarwinch.CustomerID]*Customer
	models    map[poplarwinch.ModelName]*Model
	services  map[poplarwinch.ServiceName]*Service
}

// Compile validates a manifest and builds its index from a deep copy of m.
func Compile(version Version, m *Manifest) (*Index, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	sections, err := Split(m)
	if err != nil {
		return nil, err
	}
	copied := m.clone()
	end, err := copied.FinalDate.End()
	if err != nil {
		return nil, err
	}
	x := &Index{
		Version: version, Digest: Digest(Refs(sections)), Manifest: copied, end: end, keys: keyring{},
		customers: make(map[poplarwinch.CustomerID]*Customer, len(copied.Customers)),
		models:    make(map[poplarwinch.ModelName]*Model, len(copied.Models)),
		services:  make(map[poplarwinch.ServiceName]*Service, len(copied.Services)),
	}
	for i := range copied.Models {
		x.models[copied.Models[i].Name] = &copied.Models[i]
	}
	for i := range copied.Services {
		x.services[copied.Services[i].Name] = &copied.Services[i]
	}
	for i := range copied.Customers {
		c := &copied.Customers[i]
		x.customers[c.ID] = c
		for _, hash := range c.KeyHashes {
			if err := x.keys.add(hash, c); err != nil {
				return nil, fmt.Errorf("decode a key hash of customer %s: %w", c.ID, err)
			}
		}
	}
	return x, nil
}

// Authenticate returns the customer that owns the key.
func (x *Index) Authenticate(key string) (*Customer, bool) { return x.keys.find(key) }

// Customer returns the customer with the given id.
func (x *Index) Customer(id poplarwinch.CustomerID) (*Customer, bool) {
	c, ok := x.customers[id]
	return c, ok
}

// Model returns the model with the given name.
func (x *Index) Model(name poplarwinch.ModelName) (*Model, bool) {
	m, ok := x.models[name]
	return m, ok
}

// Service returns the plain service with the given name.
func (x *Index) Service(name poplarwinch.ServiceName) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// End returns the end of the final date, from which the deployment no longer serves.
func (x *Index) End() clock.Millis { return x.end }

// Ended reports whether the final date has passed at the time now.
func (x *Index) Ended(now clock.Millis) bool { return now >= x.end }
