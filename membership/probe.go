package membership

import (
	"context"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Probed answers a probe that carried records: with this instance's own record, and with the
// prober's when it is held for silent, so that the prober can refute that.
func (m *Members) Probed(records []Member) []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.merge(records, "")
	answer := []Member{m.self}
	if len(records) > 0 {
		if r := m.records[records[0].ID]; r != nil && r.ID != m.self.ID && r.State != StateAlive {
			answer = append(answer, r.Member)
		}
	}
	return answer
}

// ProbeRecords returns the records that a probe of target carries: the own one first, and the
// target's when it is held for silent, so that the target can refute that.
func (m *Members) ProbeRecords(target poplarwinch.InstanceID) []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	records := []Member{m.self}
	if r := m.records[target]; r != nil && r.State != StateAlive {
		records = append(records, r.Member)
	}
	return records
}

// probe checks target directly and then through other members, and suspects it when no one reaches it.
func (m *Members) probe(ctx context.Context, target Member) {
	start := m.clock.Now()
	if m.probeDirect(ctx, target) || m.probeIndirect(ctx, target) || ctx.Err() != nil {
		return
	}
	if m.clock.Now()-start > probeTimeout+indirectTimeout+clock.Second {
		return // this process was paused; the timeouts say nothing about the target
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
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout.Duration())
	defer cancel()
	var wait sync.WaitGroup
	answered := make(chan struct{}, indirectProbes+1)
	// The direct probe is repeated: one lost message must not suspect a member of a domain of two.
	wait.Go(func() {
		if m.probeDirect(ctx, target) {
			answered <- struct{}{}
			cancel()
		}
	})
	for _, via := range m.helpers(target.ID) {
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

// Relay probes target for another member and returns target's records.
func (m *Members) Relay(ctx context.Context, target Member) ([]Member, error) {
	records, err := m.Probe(ctx, target, m.ProbeRecords(target.ID))
	if err != nil {
		return nil, err
	}
	m.Merge(records)
	return records, nil
}

// helpers returns random live peers other than target.
func (m *Members) helpers(target poplarwinch.InstanceID) []Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	peers := slices.DeleteFunc(m.livePeers(), func(p Member) bool { return p.ID == target })
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), indirectProbes)]
}

// suspect marks a member that did not answer, unless a newer record of it has arrived meanwhile.
func (m *Members) suspect(target Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.records[target.ID]
	if r == nil || r.State != StateAlive || r.Incarnation != target.Incarnation {
		return
	}
	suspect := r.Member
	suspect.State = StateSuspect
	m.change(r, suspect, "")
	m.publish()
}
