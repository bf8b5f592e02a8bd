package configuration

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

const (
	// watchInterval is the time between reads of the table by the two watchers of a failure domain.
	watchInterval = 2 * clock.Second
	// idleInterval is the time between reads of the table by the other instances.
	idleInterval = 30 * clock.Second
	// silenceLimit is the time without news from any peer after which an instance reads the table like a watcher;
	// peers exchange state every second.
	silenceLimit = 3 * clock.Second
	// startLimit is the time that a fresh instance gives all sources to answer.
	startLimit = 5 * clock.Second
	// tick is the precision of the intervals above.
	tick = clock.Second / 2
	// retryInterval is the time between attempts to find the first manifest, or to fetch one that a peer announced.
	retryInterval = clock.Second
	// readTimeout bounds one read of the table or one question to a peer.
	readTimeout = 2 * clock.Second
)

// Run finds the current manifest and follows its changes until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.loopAnnouncements(ctx) })
	s.start(ctx)
	group.Go(func() { s.loopTable(ctx) })
	group.Go(func() { s.loopNews(ctx) })
	group.Wait()
	return ctx.Err()
}

// start activates the highest version of the table and the peers. Until startLimit has passed it waits for all
// sources, so that one that lags behind does not decide alone.
func (s *Store) start(ctx context.Context) {
	begin := s.clock.Now()
	for ctx.Err() == nil && s.active.Load() == nil {
		bounded, release := s.within(ctx, max(startLimit-(s.clock.Now()-begin), readTimeout))
		records, complete := s.survey(bounded)
		release()
		if complete || s.clock.Now()-begin >= startLimit {
			slices.SortFunc(records, func(a, b candidate) int { return cmp.Compare(b.record.Version, a.record.Version) })
			for _, c := range records {
				if err := s.adopt(ctx, c.record, c.from); err == nil {
					return
				}
			}
		}
		_ = s.clock.Sleep(ctx, retryInterval)
	}
}

// candidate is a record that a fresh instance may activate.
type candidate struct {
	record Record
	from   source
}

// survey asks the table and the peers at the same time; complete means that both answered.
func (s *Store) survey(ctx context.Context) (records []candidate, complete bool) {
	var group sync.WaitGroup
	var record Record
	var found, valid bool
	var tableError error
	group.Go(func() {
		var row Row
		row, found, tableError = s.table.Get(ctx, rowKey)
		if found && tableError == nil {
			record, valid = s.decode(row)
		}
	})
	fromPeers, peerError := s.peers.Records(ctx)
	group.Wait()
	for _, r := range fromPeers {
		records = append(records, candidate{record: r, from: sourcePeer})
	}
	if valid {
		records = append(records, candidate{record: record, from: sourceTable})
	}
	for _, err := range []error{tableError, peerError} {
		if err != nil {
			s.alarms.logger.WithError(err).Warn("a source of the manifest does not answer")
		}
	}
	return records, tableError == nil && peerError == nil
}

func (s *Store) loopAnnouncements(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announcements:
		}
		if current := s.active.Load(); current != nil {
			bounded, release := s.within(ctx, readTimeout)
			s.announce(bounded, current.record.Version, current.record.Digest)
			release()
		}
	}
}

func (s *Store) loopTable(ctx context.Context) {
	for ctx.Err() == nil {
		if s.pause(ctx, s.wake, tick) || s.clock.Now()-clock.Millis(s.polled.Load()) >= s.interval() {
			s.poll(ctx)
		}
	}
}

// pause waits for a signal, for the span or for the end of ctx, and reports whether there was a signal.
func (s *Store) pause(ctx context.Context, c <-chan struct{}, span clock.Millis) bool {
	due, stop := s.clock.After(span)
	defer stop()
	select {
	case <-ctx.Done():
	case <-due:
	case <-c:
		return true
	}
	return false
}

func (s *Store) interval() clock.Millis {
	if s.watching() || s.clock.Now()-s.offers.lastHeard() > silenceLimit {
		return watchInterval
	}
	return idleInterval
}

// poll reads the row and follows it.
func (s *Store) poll(ctx context.Context) {
	s.polled.Store(int64(s.clock.Now()))
	bounded, release := s.within(ctx, readTimeout)
	row, found, err := s.table.Get(bounded, rowKey)
	release()
	if err != nil {
		s.alarms.logger.WithError(err).Warn("can't read the manifest row; the active manifest stays")
		return
	}
	current := s.active.Load()
	if current != nil && (!found || row.Version < uint64(current.record.Version)) {
		s.restore(ctx, row, found, current)
		return
	}
	if !found {
		return
	}
	record, ok := s.decode(row)
	if !ok {
		return
	}
	if current != nil && record.Version == current.record.Version {
		s.compare(current, record)
		return
	}
	if err := s.adopt(ctx, record, sourceTable); err != nil {
		s.alarms.logger.WithError(err).WithField("version", uint64(record.Version)).Warn("can't activate the manifest")
	}
}

func (s *Store) decode(row Row) (Record, bool) {
	record, err := DecodeRecord(row.Body)
	if err == nil && uint64(record.Version) != row.Version {
		err = fmt.Errorf("the row has version %d, its body %d", row.Version, record.Version)
	}
	if err != nil {
		s.alarms.raise(AlarmInvalidManifest, Record{Version: manifest.Version(row.Version)},
			"the manifest row is invalid and stays inactive", err)
		return Record{}, false
	}
	return record, true
}

// restore writes the active record over an older row, so that the next commit gets a version that instances accept.
// The condition on the version that was read keeps it from replacing a newer row.
func (s *Store) restore(ctx context.Context, row Row, found bool, current *state) {
	s.alarms.raise(AlarmStaleTable, current.record,
		"the table has an older manifest than this instance; the active version is written back", nil)
	digests := make([]string, 0, len(current.sections))
	for digest := range current.sections {
		digests = append(digests, digest)
	}
	bounded, release := s.within(ctx, fetchTimeout)
	defer release()
	if err := s.upload(bounded, current.sections, digests); err != nil {
		s.alarms.logger.WithError(err).Warn("can't store the sections of the active manifest")
		return
	}
	if err := s.write(bounded, current.record, Condition{Absent: !found, Version: row.Version}); err != nil {
		s.alarms.logger.WithError(err).Warn("can't write the active manifest back to the table")
	}
}

func (s *Store) write(ctx context.Context, record Record, condition Condition) error {
	body, err := record.Encode()
	if err != nil {
		return err
	}
	return s.table.Put(ctx, Row{Key: rowKey, Body: body, Version: uint64(record.Version)}, condition)
}

func (s *Store) loopNews(ctx context.Context) {
	for ctx.Err() == nil {
		open := s.offers.open(s.version())
		for _, o := range open {
			if current := s.active.Load(); current == nil || o.version > current.record.Version {
				s.follow(ctx, o)
			} else {
				s.compare(current, Record{Version: o.version, Digest: o.digest})
			}
		}
		if len(open) > 0 && s.version() < open[0].version {
			_ = s.clock.Sleep(ctx, retryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-s.offers.news:
		}
	}
}

// follow activates a version that a peer announced.
func (s *Store) follow(ctx context.Context, o offer) {
	bounded, release := s.within(ctx, readTimeout)
	record, err := s.peers.Record(bounded, o.version, o.digest)
	release()
	if err == nil {
		err = s.adopt(ctx, record, sourcePeer)
	}
	if err == nil && s.version() >= o.version {
		return
	}
	// The limit keeps the instances of a partitioned domain from reading the table at the same rate as gossip.
	if s.clock.Now()-clock.Millis(s.polled.Load()) >= watchInterval {
		signal(s.wake)
	}
}
