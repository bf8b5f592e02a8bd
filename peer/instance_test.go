package peer_test

import (
	"context"
	"sync"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/membership"
	"github.com/poplarwinch/poplarwinch/peer"
)

const secret = "a secret"

// instance is an endpoint that serves on loopback, with in-memory observations and suspects.
type instance struct {
	*peer.Endpoint
	members *membership.Members
	self    membership.Member
	stop    context.CancelFunc

	mutex          sync.Mutex
	observations   map[poplarwinch.UpstreamID]peer.Observation
	suspects       map[[16]byte]peer.Suspect
	received       int // number of observations passed to mergeObservations
	offeredVersion uint64
}

func newInstance(t testing.TB, id poplarwinch.InstanceID, domain poplarwinch.FailureDomain, opts ...peer.Option) *instance {
	t.Helper()
	listener := listen(t)
	self := membership.Member{ID: id, Address: listener.Addr().String(), FailureDomain: domain}
	x := &instance{
		members:      membership.New(membership.WithSelf(self)),
		observations: map[poplarwinch.UpstreamID]peer.Observation{}, suspects: map[[16]byte]peer.Suspect{},
	}
	x.self = x.members.Snapshot().Self
	var err error
	x.Endpoint, err = peer.New(append([]peer.Option{peer.WithSecret(secret), peer.WithMembers(x.members)}, opts...)...)
	if err != nil {
		t.Fatal(err)
	}
	x.Observations, x.MergeObservations = x.listObservations, x.mergeObservations
	x.Suspects, x.MergeSuspects = x.listSuspects, x.mergeSuspects
	x.OnPeerVersion = func(_ context.Context, version uint64, _ string) {
		x.mutex.Lock()
		defer x.mutex.Unlock()
		x.offeredVersion = version
	}
	var ctx context.Context
	ctx, x.stop = context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- x.Serve(ctx, listener) }()
	t.Cleanup(func() {
		x.Close()
		x.stop()
		if err := <-ended; err != nil {
			t.Errorf("Serve() = %v", err)
		}
	})
	return x
}

func (x *instance) listObservations() []peer.Observation {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var list []peer.Observation
	for _, o := range x.observations {
		list = append(list, o)
	}
	return list
}

func (x *instance) mergeObservations(list []peer.Observation) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.received += len(list)
	for _, o := range list {
		if o.At > x.observations[o.ID].At {
			x.observations[o.ID] = o
		}
	}
}

func (x *instance) listSuspects() []peer.Suspect {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var list []peer.Suspect
	for _, s := range x.suspects {
		list = append(list, s)
	}
	return list
}

func (x *instance) mergeSuspects(list []peer.Suspect) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	for _, s := range list {
		x.suspects[s.Fingerprint] = s
	}
}

// exchange runs one exchange from x to y.
func (x *instance) exchange(t testing.TB, y *instance) {
	t.Helper()
	request := x.members.NewRequest(y.self)
	reply, err := x.Exchange(context.Background(), y.self, request)
	if err != nil {
		t.Fatal(err)
	}
	x.members.HandleReply(request, reply)
}
