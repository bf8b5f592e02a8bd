package membership

import (
	"context"
	"sync"
)

// Run probes and exchanges until ctx ends. It returns nil when ctx ends.
func (m *Members) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		m.runRound(ctx, &wait)
		if m.clock.Sleep(ctx, interval) != nil {
			return nil
		}
	}
}

func (m *Members) runRound(ctx context.Context, wait *sync.WaitGroup) {
	r := m.nextRound(m.clock.Now())
	if r.probe.ID != "" {
		wait.Go(func() { m.probe(ctx, r.probe) })
	}
	for _, target := range r.exchanges {
		wait.Go(func() { m.exchange(ctx, target) })
	}
	for _, target := range r.foreign {
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
	request := m.Compose(target)
	reply, err := m.Exchange(ctx, target, request)
	if err != nil {
		return err
	}
	m.Accept(request, reply)
	if target.FailureDomain == "" {
		m.locateSeed(target.Address, reply.From.FailureDomain)
	}
	return nil
}

// Leave tells some peers that this instance leaves. Its record stays "left" from then on; Run
// should be ended by its context afterwards.
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
