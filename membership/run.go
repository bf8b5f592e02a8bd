package membership

import (
	"context"
	"sync"
)

// Run runs a round every second until ctx ends. It always returns nil.
func (m *Members) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		m.runRound(ctx, &wait)
		if m.clock.Sleep(ctx, roundInterval) != nil {
			return nil
		}
	}
}

func (m *Members) runRound(ctx context.Context, wait *sync.WaitGroup) {
	next := m.nextRound(m.clock.Now())
	if next.probe.ID != "" {
		wait.Go(func() { m.probe(ctx, next.probe) })
	}
	for _, target := range next.exchanges {
		wait.Go(func() { m.exchange(ctx, target) })
	}
	for _, target := range next.otherDomains {
		wait.Go(func() {
			if m.exchange(ctx, target) != nil {
				m.dropContact(target)
			}
		})
	}
}

func (m *Members) exchange(ctx context.Context, target Member) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	request := m.NewRequest(target)
	reply, err := m.Exchange(ctx, target, request)
	if err != nil {
		return err
	}
	m.HandleReply(request, reply)
	if target.FailureDomain == "" {
		m.setSeedDomain(target.Address, reply.From.FailureDomain)
	}
	return nil
}

// Leave sets this instance's state to left and notifies up to leaveFanout peers, which spread it. The state
// stays left from then on, so cancel the context of Run afterwards.
func (m *Members) Leave(ctx context.Context) {
	m.mutex.Lock()
	m.self.Incarnation++
	m.self.State = StateLeft
	m.publishSelf()
	peers := m.livePeers()
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	m.mutex.Unlock()
	var wait sync.WaitGroup
	for _, target := range peers[:min(len(peers), leaveFanout)] {
		wait.Go(func() { m.exchange(ctx, target) })
	}
	wait.Wait()
}
