package configuration

import (
	"cmp"
	"context"
	"slices"
	"sync"
)

// bootstrap activates the highest valid version that the table and the peers report. Until bootstrapTimeout has passed it
// requires an answer from both, so that a stale source can't decide alone.
func (s *Store) bootstrap(ctx context.Context) {
	startTime := s.clock.Now()
	for ctx.Err() == nil && s.active.Load() == nil {
		queryCtx, cancel := s.withTimeout(ctx, max(bootstrapTimeout-(s.clock.Now()-startTime), requestTimeout))
		candidates, complete := s.queryAllSources(queryCtx)
		cancel()
		if complete || s.clock.Now()-startTime >= bootstrapTimeout {
			slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.record.Version, a.record.Version) })
			for _, c := range candidates {
				if err := s.applyRecord(ctx, c.record, c.from); err == nil {
					return
				}
			}
		}
		_ = s.clock.Sleep(ctx, retryInterval)
	}
}

// candidate is a record that bootstrap may activate.
type candidate struct {
	record Record
	from   recordSource
}

// queryAllSources queries the table and the peers concurrently; complete means that both answered.
func (s *Store) queryAllSources(ctx context.Context) (candidates []candidate, complete bool) {
	var group sync.WaitGroup
	var record Record
	var found, valid bool
	var tableErr error
	group.Go(func() {
		var row Row
		row, found, tableErr = s.table.Get(ctx, rowKey)
		if found && tableErr == nil {
			record, valid = s.decodeRow(row)
		}
	})
	peerRecords, peerErr := s.peers.Records(ctx)
	group.Wait()
	for _, r := range peerRecords {
		candidates = append(candidates, candidate{record: r, from: sourcePeer})
	}
	if valid {
		candidates = append(candidates, candidate{record: record, from: sourceTable})
	}
	for _, err := range []error{tableErr, peerErr} {
		if err != nil {
			s.alarms.logger.WithError(err).Warn("failed to query a source of the manifest at the start")
		}
	}
	return candidates, tableErr == nil && peerErr == nil
}
