// Package history stores values together with their earlier versions.
package history

import (
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
)

// retention is how long earlier versions are kept for At and Restore.
const retention = 10 * clock.Minute

// Store maps keys to values and keeps their earlier versions for ten minutes.
type Store[V any] struct {
	clock *clock.Clock
	mutex sync.Mutex
	// versions holds the versions of each key in chronological order; the last one is current.
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

// Do runs f while no other goroutine accesses the store. f must not keep the View.
func (s *Store[V]) Do(f func(*View[V])) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f(&View[V]{store: s})
}

// Restore resets the store to its state at a point in time.
func (s *Store[V]) Restore(at clock.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, list := range s.versions {
		if n := countAt(list, at); n > 0 {
			s.versions[key] = list[:n]
		} else {
			delete(s.versions, key)
		}
	}
}

// countAt returns how many versions in list existed at the given time.
func countAt[V any](list []version[V], at clock.Millis) int {
	n := len(list)
	for n > 0 && list[n-1].at > at {
		n--
	}
	return n
}
