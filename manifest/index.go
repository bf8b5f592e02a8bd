package manifest

import (
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Index is a compiled manifest. It is immutable: readers must not change what its fields and results point to.
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

// Compile validates a manifest and builds its index, which shares no memory with m.
func Compile(version Version, m *Manifest) (*Index, error) {
	if err := m.Validate(); err != nil {
		return nil, err
	}
	sections, err := Split(m)
	if err != nil {
		return nil, err
	}
	own := m.clone()
	end, err := own.FinalDate.End()
	if err != nil {
		return nil, err
	}
	x := &Index{
		Version: version, Digest: Digest(Refs(sections)), Manifest: own, end: end, keys: keyring{},
		customers: make(map[poplarwinch.CustomerID]*Customer, len(own.Customers)),
		models:    make(map[poplarwinch.ModelName]*Model, len(own.Models)),
		services:  make(map[poplarwinch.ServiceName]*Service, len(own.Services)),
	}
	for i := range own.Models {
		x.models[own.Models[i].Name] = &own.Models[i]
	}
	for i := range own.Services {
		x.services[own.Services[i].Name] = &own.Services[i]
	}
	for i := range own.Customers {
		c := &own.Customers[i]
		x.customers[c.ID] = c
		for _, hash := range c.KeyHashes {
			if err := x.keys.add(hash, c); err != nil {
				return nil, fmt.Errorf("read a key hash of customer %s: %w", c.ID, err)
			}
		}
	}
	return x, nil
}

// Authenticate returns the customer to whom the key belongs.
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

// End returns the time from which the service has ended.
func (x *Index) End() clock.Millis { return x.end }

// Ended reports whether the final date has passed.
func (x *Index) Ended(now clock.Millis) bool { return now >= x.end }
