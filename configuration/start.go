package configuration

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

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
