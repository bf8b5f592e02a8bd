// Package history keeps values together with their earlier versions.
package history

import (
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
)

// retention is how far back At and Restore reach.
const retention = 10 * clock.Minute

// Store maps keys to values and remembers their earlier versions for ten minutes.
type Store[V any] struct {
	clock *clock.Clock
	mutex sync.Mutex
	// versions are in the order of their times; the last one is the current one.
	versions map[string][]version[V]
}

type version[V any] struct {
	at      clock.Millis
	value   V
	deleted bool
}

// New returns an empty store.
func New[V any](c *clock.Clock) *Store[V] {
	return &Store[V]{clock: c, versions: map[string][]version[V]{}}
}

// Do runs f while no other goroutine reads or writes the store.
func (s *Store[V]) Do(f func(*View[V])) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(&View[V]{store: s})
}

// Restore puts back the state at a point in time.
func (s *Store[V]) Restore(at clock.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, list := range s.versions {
		if n := before(list, at); n > 0 {
			s.versions[key] = list[:n]
		} else {
			delete(s.versions, key)
		}
	}
}

// before returns the number of versions in list that existed at the given time.
func before[V any](list []version[V], at clock.Millis) int {
	n := len(list)
	for n > 0 && list[n-1].at > at {
		n--
	}
	return n
}
