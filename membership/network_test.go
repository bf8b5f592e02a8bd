package membership_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/membership"
)

var errUnreachable = errors.New("unreachable")

// network is a simulated network between members in a synctest bubble, in virtual time.
type network struct {
	mutex      sync.Mutex
	random     *rand.Rand
	loss       float64 // fraction of the requests and of the replies that are lost
	nodes      map[string]*node
	partitions map[string]int // partition of each address
	cutPair    [2]string      // addresses that cannot reach each other
	loops      sync.WaitGroup
}

// node is a member with its process.
type node struct {
	*membership.Members
	address string
	domain  poplarwinch.FailureDomain
	cancel  context.CancelFunc // nil while stopped or paused
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*node{}, partitions: map[string]int{}}
}

func address(domain poplarwinch.FailureDomain, i int) string { return fmt.Sprintf("%s-%d", domain, i) }

// add starts a member with the given seeds.
func (n *network) add(domain poplarwinch.FailureDomain, i int, seeds ...membership.Candidate) *node {
	self := address(domain, i)
	added := &node{address: self, domain: domain}
	n.mutex.Lock()
	random := rand.New(rand.NewPCG(n.random.Uint64(), 0))
	n.mutex.Unlock()
	added.Members = membership.New(
		membership.WithSelf(membership.Member{ID: poplarwinch.InstanceID(self), Address: self, FailureDomain: domain}),
		membership.WithSeeds(seeds...),
		membership.WithRandom(random),
		membership.WithProbe(func(ctx context.Context, target membership.Member, records []membership.Member) ([]membership.Member, error) {
			return send(ctx, n, self, target.Address, func(t *node) ([]membership.Member, error) { return t.HandleProbe(records), nil })
		}),
		membership.WithProbeVia(func(ctx context.Context, via, target membership.Member) ([]membership.Member, error) {
			return send(ctx, n, self, via.Address, func(v *node) ([]membership.Member, error) { return v.RelayProbe(ctx, target) })
		}),
		membership.WithExchange(func(ctx context.Context, target membership.Member, m membership.Message) (membership.Message, error) {
			return send(ctx, n, self, target.Address, func(t *node) (membership.Message, error) { return t.HandleRequest(m), nil })
		}),
	)
	n.mutex.Lock()
	n.nodes[self] = added
	n.mutex.Unlock()
	n.resume(added)
	return added
}

// send delivers a call and its reply, each after 1 ms, unless the network or a process is faulty.
// Undelivered calls block until their deadline, as with dropped packets.
func send[Reply any](ctx context.Context, n *network, from, to string, handle func(*node) (Reply, error)) (Reply, error) {
	var none Reply
	if !n.delivers(from, to) {
		<-ctx.Done()
		return none, errUnreachable
	}
	time.Sleep(time.Millisecond)
	n.mutex.Lock()
	target := n.nodes[to]
	n.mutex.Unlock()
	reply, err := handle(target)
	if err != nil {
		return none, err
	}
	if !n.delivers(to, from) {
		<-ctx.Done()
		return none, errUnreachable
	}
	time.Sleep(time.Millisecond)
	return reply, nil
}

func (n *network) delivers(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.connected(from, to) && n.random.Float64() >= n.loss
}

func (n *network) connected(from, to string) bool {
	source, target := n.nodes[from], n.nodes[to]
	if n.cutPair == [2]string{from, to} || n.cutPair == [2]string{to, from} {
		return false
	}
	return source != nil && target != nil && source.cancel != nil && target.cancel != nil && n.partitions[from] == n.partitions[to]
}

// pause stops a process; a pause without resume is a crash.
func (n *network) pause(x *node) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if x.cancel != nil {
		x.cancel()
		x.cancel = nil
	}
}

func (n *network) resume(x *node) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if x.cancel != nil {
		return
	}
	var ctx context.Context
	ctx, x.cancel = context.WithCancel(context.Background())
	offset := clock.Millis(n.random.IntN(1000))
	n.loops.Go(func() {
		if clock.System().Sleep(ctx, offset) == nil {
			_ = x.Run(ctx) // always nil
		}
	})
}

// partition puts each address into the partition that the function returns.
func (n *network) partition(group func(address string) int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for a := range n.nodes {
		n.partitions[a] = group(a)
	}
}

func (n *network) setLoss(loss float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loss = loss
}

func (n *network) stop() {
	for _, x := range n.nodes {
		n.pause(x)
	}
	n.loops.Wait()
}

// running returns the running nodes, sorted by address.
func (n *network) running() []*node {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var list []*node
	for _, x := range n.nodes {
		if x.cancel != nil {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *node) int {
		if a.address < b.address {
			return -1
		}
		return 1
	})
	return list
}

// disagreement describes the first node whose live members differ from the running nodes of its domain.
// It returns "" if there is none.
func (n *network) disagreement() string {
	running := n.running()
	for _, x := range running {
		var want, got []string
		for _, y := range running {
			if y.domain == x.domain {
				want = append(want, y.address)
			}
		}
		for _, l := range x.Snapshot().Live {
			got = append(got, l.Address)
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			return fmt.Sprintf("%s sees %v, want %v", x.address, got, want)
		}
	}
	return ""
}

// waitUntil polls done until it returns "" or the limit passes. It returns the elapsed time and the
// last failure.
func waitUntil(limit time.Duration, done func() string) (time.Duration, string) {
	start := time.Now()
	for {
		failure := done()
		if took := time.Since(start); failure == "" || took >= limit {
			return took, failure
		}
		time.Sleep(100 * time.Millisecond)
	}
}
