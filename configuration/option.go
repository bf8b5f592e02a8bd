package configuration

import (
	"context"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// Option configures a Store.
type Option func(*Store)

// WithService sets the service name that a manifest must have; without it the store accepts any.
func WithService(name string) Option { return func(s *Store) { s.service = name } }

// WithClock sets the clock; the default is the system clock.
func WithClock(c *clock.Clock) Option { return func(s *Store) { s.clock = c } }

// WithTable sets the access to the table service; without it the table is unavailable.
func WithTable(t Table) Option { return func(s *Store) { s.table = t } }

// WithObjects sets the access to the object store; without it the object store is unavailable.
func WithObjects(o Objects) Option { return func(s *Store) { s.objects = o } }

// WithPeers sets the access to the other instances; without it there are no peers.
func WithPeers(p Peers) Option { return func(s *Store) { s.peers = p } }

// WithWatching sets the function that reports whether this instance is a watcher, which polls the table every 2 s. The
// default is true.
func WithWatching(isWatcher func() bool) Option { return func(s *Store) { s.isWatcher = isWatcher } }

// WithAnnounce sets the function that announces a version to the peers after it was activated from the table or by a
// commit.
func WithAnnounce(announce func(ctx context.Context, version manifest.Version, digest string)) Option {
	return func(s *Store) { s.announce = announce }
}

// WithActivated sets the function that is called after each activation, in the order of versions. It must not block.
func WithActivated(onActivated func(*manifest.Index)) Option {
	return func(s *Store) { s.onActivated = onActivated }
}

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger log.Interface) Option { return func(s *Store) { s.alarms.logger = logger } }

// WithAlarmCounter sets the function that is called for every occurrence of an alarm.
func WithAlarmCounter(count func(Alarm)) Option { return func(s *Store) { s.alarms.count = count } }

func (s *Store) setDefaults() {
	s.clock = clock.System()
	s.table = Table{
		Get: func(context.Context, string) (Row, bool, error) { return Row{}, false, errNotConfigured },
		Put: func(context.Context, Row, Condition) error { return ErrNotWritten },
	}
	s.objects = Objects{
		Get:    func(context.Context, string) ([]byte, error) { return nil, errNotConfigured },
		PutNew: func(context.Context, string, []byte) error { return errNotConfigured },
	}
	s.peers = Peers{
		Records: func(context.Context) ([]Record, error) { return nil, nil },
		Record:  func(context.Context, manifest.Version, string) (Record, error) { return Record{}, ErrNotFound },
		Sections: func(context.Context, []string) (map[string][]byte, error) {
			return nil, nil
		},
	}
	s.isWatcher = func() bool { return true }
	s.announce = func(context.Context, manifest.Version, string) {}
	s.onActivated = func(*manifest.Index) {}
	s.alarms.logger = &log.Logger{Handler: discard.Default, Level: log.FatalLevel}
	s.alarms.count = func(Alarm) {}
	s.alarms.logged = map[string]bool{}
}
