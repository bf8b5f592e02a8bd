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

// network connects members in a synctest bubble, in virtual time.
type network struct {
	mutex  sync.Mutex
	random *rand.Rand
	loss   float64 // share of lost calls
	nodes  map[string]*node
	groups map[string]int // partition of each address
	cut    [2]string      // addresses that cannot reach each other
	wait   sync.WaitGroup
}

// node is a member with its process.
type node struct {
	*membership.Members
	address string
	domain  poplarwinch.FailureDomain
	cancel  context.CancelFunc // nil while stopped or paused
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, 0)), nodes: map[string]*node{}, groups: map[string]int{}}
}

func address(domain poplarwinch.FailureDomain, i int) string { return fmt.Sprintf("%s-%d", domain, i) }

// add starts a member whose only seed is the given address.
func (n *network) add(domain poplarwinch.FailureDomain, i int, seeds ...membership.Candidate) *node {
	a := address(domain, i)
	x := &node{address: a, domain: domain}
	n.mutex.Lock()
	random := rand.New(rand.NewPCG(n.random.Uint64(), 0))
	n.mutex.Unlock()
	x.Members = membership.New(
		membership.WithSelf(membership.Member{ID: poplarwinch.InstanceID(a), Address: a, FailureDomain: domain}),
		membership.WithSeeds(seeds...),
		membership.WithRandom(random),
		membership.WithProbe(func(ctx context.Context, target membership.Member, records []membership.Member) ([]membership.Member, error) {
			return send(ctx, n, a, target.Address, func(t *node) ([]membership.Member, error) { return t.Probed(records), nil })
		}),
		membership.WithProbeVia(func(ctx context.Context, via, target membership.Member) ([]membership.Member, error) {
			return send(ctx, n, a, via.Address, func(v *node) ([]membership.Member, error) { return v.Relay(ctx, target) })
		}),
		membership.WithExchange(func(ctx context.Context, target membership.Member, m membership.Message) (membership.Message, error) {
			return send(ctx, n, a, target.Address, func(t *node) (membership.Message, error) { return t.Answer(m), nil })
		}),
	)
	n.mutex.Lock()
	n.nodes[a] = x
	n.mutex.Unlock()
	n.resume(x)
	return x
}

// send delivers a call and its reply, each after 1 ms, unless the network or a process is faulty.
// Undelivered calls hang until their deadline, like packets that are dropped.
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
	a, b := n.nodes[from], n.nodes[to]
	if n.cut == [2]string{from, to} || n.cut == [2]string{to, from} {
		return false
	}
	return a != nil && b != nil && a.cancel != nil && b.cancel != nil && n.groups[from] == n.groups[to]
}

// pause stops a process; without resume that is a crash.
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
	n.wait.Go(func() {
		if clock.System().Sleep(ctx, offset) == nil {
			_ = x.Run(ctx) // always nil
		}
	})
}

// partition puts each address into the group that the function returns.
func (n *network) partition(group func(address string) int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for a := range n.nodes {
		n.groups[a] = group(a)
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
	n.wait.Wait()
}

// running returns the nodes that run, sorted by address.
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

// disagreement describes the first node whose live view differs from the running nodes of its domain.
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

// within runs the network until done returns "" and returns the time that took, or the last
// complaint when the limit passed first.
func within(limit time.Duration, done func() string) (time.Duration, string) {
	start := time.Now()
	for {
		complaint := done()
		if took := time.Since(start); complaint == "" || took >= limit {
			return took, complaint
		}
		time.Sleep(100 * time.Millisecond)
	}
}
