package configuration

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// rowKey is the key of the table row with the current record.
const rowKey = "manifest"

// errUnavailable is the error of sources that are not configured.
var errUnavailable = errors.New("not configured")

// Store keeps the active manifest of one instance. The active version only increases.
type Store struct {
	service   string
	clock     *clock.Clock
	table     Table
	objects   Objects
	peers     Peers
	watching  func() bool
	announce  func(ctx context.Context, version manifest.Version, digest string)
	activated func(*manifest.Index)
	alarms    alarms

	// mutex serializes activations; readers use the atomic pointer.
	mutex  sync.Mutex
	active atomic.Pointer[state]
	// partial holds sections of a record that could not be fetched completely, for the next attempt.
	partial atomic.Pointer[map[string][]byte]
	// rejected is the last manifest that failed validation; its sections are not fetched again at each read of the row.
	rejected atomic.Pointer[rejection]
	offers   offers
	// announcements wakes the loop that announces the active version.
	announcements chan struct{}
	// wake makes the loop that reads the table do so at once.
	wake chan struct{}
	// polled is the time of the last read of the table.
	polled atomic.Int64
}

// New returns a store without an active manifest.
func New(opts ...Option) *Store {
	s := &Store{announcements: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
	s.offers.news = make(chan struct{}, 1)
	s.offers.pending = map[offer]int{}
	s.setDefaults()
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Active returns the active manifest, or nil before the first activation.
func (s *Store) Active() *manifest.Index {
	if current := s.active.Load(); current != nil {
		return current.index
	}
	return nil
}

// Record returns the record of the active manifest, for peers that ask for it.
func (s *Store) Record() (Record, bool) {
	current := s.active.Load()
	if current == nil {
		return Record{}, false
	}
	return current.record, true
}

// Section returns the body of a section of the active manifest, for peers that ask for it.
func (s *Store) Section(digest string) ([]byte, bool) {
	current := s.active.Load()
	if current == nil {
		return nil, false
	}
	body, ok := current.sections[digest]
	return body, ok
}

// version returns the active version, or zero.
func (s *Store) version() manifest.Version {
	if current := s.active.Load(); current != nil {
		return current.record.Version
	}
	return 0
}

// activate makes next the active manifest if its version is higher than the active one.
func (s *Store) activate(next *state) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.active.Load(); current != nil && next.record.Version <= current.record.Version {
		s.compare(current, next.record)
		return false
	}
	s.active.Store(next)
	s.alarms.logger.WithFields(log.Fields{
		"version": uint64(next.record.Version), "digest": next.record.Digest,
	}).Info("manifest activated")
	s.activated(next.index)
	return true
}

// compare raises an alarm if a record has the active version but other content.
func (s *Store) compare(current *state, record Record) {
	if record.Version == current.record.Version && record.Digest != current.record.Digest {
		s.alarms.raise(AlarmConflictingDigest, record,
			"the active version exists with another digest; commit a manifest that replaces this version", nil)
	}
}

// signal wakes the receiver of a channel with capacity 1.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
