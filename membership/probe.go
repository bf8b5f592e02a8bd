package membership

import (
	"context"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// HandleProbe merges the records of a probe and returns the records of the reply: this instance's own
// and, if the prober is not alive in this view, the prober's, so that the prober can refute it.
func (m *Members) HandleProbe(records []Member) []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.merge(records, "")
	reply := []Member{m.self}
	if len(records) > 0 {
		if known := m.records[records[0].ID]; known != nil && known.ID != m.self.ID && known.State != StateAlive {
			reply = append(reply, known.Member)
		}
	}
	return reply
}

// ProbeRecords returns the records that a probe of target carries: this instance's own first and, if
// the target is not alive in this view, the target's, so that the target can refute it.
func (m *Members) ProbeRecords(target poplarwinch.InstanceID) []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	records := []Member{m.self}
	if known := m.records[target]; known != nil && known.State != StateAlive {
		records = append(records, known.Member)
	}
	return records
}

// probe probes target directly and then indirectly, and marks it suspect when no probe succeeds.
func (m *Members) probe(ctx context.Context, target Member) {
	start := m.clock.Now()
	if m.probeDirect(ctx, target) || m.probeIndirect(ctx, target) || ctx.Err() != nil {
		return
	}
	if m.clock.Now()-start > probeTimeout+indirectProbeTimeout+clock.Second {
		return // this process was paused, so the timeouts are no evidence against the target
	}
	m.suspect(target)
}

func (m *Members) probeDirect(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	records, err := m.Probe(ctx, target, m.ProbeRecords(target.ID))
	if err != nil || !slices.ContainsFunc(records, func(r Member) bool { return r.ID == target.ID }) {
		return false
	}
	m.Merge(records)
	return true
}

func (m *Members) probeIndirect(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout.Duration())
	defer cancel()
	var wait sync.WaitGroup
	answered := make(chan struct{}, indirectProbeCount+1)
	// Repeat the direct probe as well: a domain of two members has no relay, and one lost message must
	// not make a member suspect.
	wait.Go(func() {
		if m.probeDirect(ctx, target) {
			answered <- struct{}{}
			cancel()
		}
	})
	for _, via := range m.randomRelays(target.ID) {
		wait.Go(func() {
			records, err := m.ProbeVia(ctx, via, target)
			if err == nil && slices.ContainsFunc(records, func(r Member) bool { return r.ID == target.ID }) {
				m.Merge(records)
				answered <- struct{}{}
				cancel()
			}
		})
	}
	wait.Wait()
	return len(answered) > 0
}

// RelayProbe probes target on behalf of another member and returns target's records.
func (m *Members) RelayProbe(ctx context.Context, target Member) ([]Member, error) {
	records, err := m.Probe(ctx, target, m.ProbeRecords(target.ID))
	if err != nil {
		return nil, err
	}
	m.Merge(records)
	return records, nil
}

// randomRelays returns up to indirectProbeCount random live peers other than target.
func (m *Members) randomRelays(target poplarwinch.InstanceID) []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peers := slices.DeleteFunc(m.livePeers(), func(p Member) bool { return p.ID == target })
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), indirectProbeCount)]
}

// suspect marks target suspect unless its record has changed since the probe began.
func (m *Members) suspect(target Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.records[target.ID]
	if known == nil || known.State != StateAlive || known.Incarnation != target.Incarnation {
		return
	}
	suspect := known.Member
	suspect.State = StateSuspect
	m.setRecord(known, suspect, "")
	m.publish()
}
