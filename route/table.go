package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/poplarwinch/poplarwinch"
)

// Version orders configurations; a newer one has a larger version.
type Version int64

// Table is one version of the configuration. It must not be changed after Compile.
type Table struct {
	Version   Version
	Routes    []Route
	Customers []Customer
	// Pools has the parameters of the services that are pools of engines.
	Pools map[poplarwinch.ServiceName]Pool
	// Cold has the limits for cold servers of the services that have one.
	Cold map[poplarwinch.ServiceName]Cold
	// Services are the names of all services.
	Services []poplarwinch.ServiceName
	Limits   Limits

	hosts map[string][]*Route
	keys  map[string]*Customer
	// priorities has the levels of the services whose requests have differing priorities.
	priorities         map[poplarwinch.ServiceName]map[int]*Priority
	customerPriorities map[poplarwinch.CustomerID]int
}

// Compile builds the indexes of the table and returns it.
func (t *Table) Compile() *Table {
	t.hosts = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.keys = map[string]*Customer{}
	for i := range t.Customers {
		c := &t.Customers[i]
		for _, key := range c.Keys {
			t.keys[key] = c
		}
	}
	t.compilePriorities()
	return t
}

// Find returns the route of the host with the longest prefix that matches path.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Authenticate returns the customer that has the API key.
func (t *Table) Authenticate(key string) (*Customer, bool) {
	c, ok := t.keys[key]
	return c, ok
}

// NeedsKeys reports whether the configuration has customers, so that requests are authenticated by API key.
func (t *Table) NeedsKeys() bool { return len(t.Customers) > 0 }
