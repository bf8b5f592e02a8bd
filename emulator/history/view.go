package history

import "github.com/poplarwinch/poplarwinch/clock"

// View gives access to a store within Store.Do.
type View[V any] struct{ store *Store[V] }

// Get returns the current value of key.
func (v *View[V]) Get(key string) (V, bool) { return v.At(key, v.store.clock.Now()) }

// At returns the value that key had at a point in time.
func (v *View[V]) At(key string, at clock.Millis) (V, bool) {
	list := v.store.versions[key]
	n := countAt(list, at)
	if n == 0 || list[n-1].deleted {
		var none V
		return none, false
	}
	return list[n-1].value, true
}

// Put sets the value of key.
func (v *View[V]) Put(key string, value V) { v.add(key, version[V]{value: value}) }

// Delete removes the value of key.
func (v *View[V]) Delete(key string) { v.add(key, version[V]{deleted: true}) }

func (v *View[V]) add(key string, added version[V]) {
	s := v.store
	added.at = s.clock.Now()
	list := s.versions[key]
	// The newest version older than the retention time is kept, because it was current at the start of that time.
	if n := countAt(list, added.at-retention); n > 1 {
		list = list[n-1:]
	}
	s.versions[key] = append(list, added)
}
