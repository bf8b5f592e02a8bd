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

// rowKey is the key of the table row that holds the current record, the manifest row.
const rowKey = "manifest"

// errNotConfigured is the error of a Store without access to the table or the object store.
var errNotConfigured = errors.New("access to the table service or object store is not configured")

// Store holds the active manifest of one instance. The active version only increases.
type Store struct {
	service     string
	clock       *clock.Clock
	table       Table
	objects     Objects
	peers       Peers
	isWatcher   func() bool
	announce    func(ctx context.Context, version manifest.Version, digest string)
	onActivated func(*manifest.Index)
	alarms      alarms

	// mutex serializes activations; readers load active without it.
	mutex  sync.Mutex
	active atomic.Pointer[activeManifest]
	// partialSections holds the sections of an incomplete download for the next attempt.
	partialSections atomic.Pointer[map[string][]byte]
	// lastRejected is the last manifest that failed validation, so that its sections are not fetched again at each poll.
	lastRejected atomic.Pointer[rejectedManifest]
	peerVersions peerVersions
	// announceRequested wakes announceLoop.
	announceRequested chan struct{}
	// pollRequested makes pollLoop poll the table at once.
	pollRequested chan struct{}
	// conflictingVersion is the last version that a peer had with a different digest.
	conflictingVersion atomic.Uint64
	// lastPoll is the time of the last poll of the table, in clock.Millis.
	lastPoll atomic.Int64
}

// New returns a store without an active manifest.
func New(opts ...Option) *Store {
	s := &Store{announceRequested: make(chan struct{}, 1), pollRequested: make(chan struct{}, 1)}
	s.peerVersions.added = make(chan struct{}, 1)
	s.peerVersions.attempts = map[peerVersion]int{}
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

// Record returns the record of the active manifest, which peers can request.
func (s *Store) Record() (Record, bool) {
	current := s.active.Load()
	if current == nil {
		return Record{}, false
	}
	return current.record, true
}

// Section returns the body of a section of the active manifest, which peers can request.
func (s *Store) Section(digest string) ([]byte, bool) {
	current := s.active.Load()
	if current == nil {
		return nil, false
	}
	body, ok := current.sections[digest]
	return body, ok
}

// version returns the active version, or zero before the first activation.
func (s *Store) version() manifest.Version {
	if current := s.active.Load(); current != nil {
		return current.record.Version
	}
	return 0
}

// activate makes next the active manifest if its version is higher than the active one, and reports whether it did.
func (s *Store) activate(next *activeManifest) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current := s.active.Load(); current != nil {
		if next.record.Version <= current.record.Version {
			s.checkDigest(current, next.record)
			return false
		}
		s.reportLostCommits(next.record, current.record)
	}
	s.active.Store(next)
	s.alarms.logger.WithFields(log.Fields{
		"version": uint64(next.record.Version), "digest": next.record.Digest,
	}).Info("manifest activated")
	s.onActivated(next.index)
	return true
}

// checkDigest raises an alarm if a record has the active version but a different digest.
func (s *Store) checkDigest(current *activeManifest, record Record) {
	if record.Version == current.record.Version && record.Digest != current.record.Digest {
		s.alarms.raise(AlarmConflictingDigest, record,
			"the active version exists with a different digest; commit a manifest that replaces this version", nil)
	}
}

// reportLostCommits raises an alarm for each commit of replaced that record should contain but doesn't.
func (s *Store) reportLostCommits(record, replaced Record) {
	for _, c := range record.lostCommits(replaced) {
		s.alarms.raise(AlarmLostCommit, Record{Version: c.Version, Digest: c.Digest},
			"commit "+c.ID+" was lost by a restore of the table and another one got its version; commit its change again", nil)
	}
}

// signal wakes the receiver of a channel with capacity 1; signals that it has not received yet are merged into one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
