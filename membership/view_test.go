package membership_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/membership"
)

func newMembers(size int) *membership.Members {
	self := membership.Member{ID: "entry-0", Address: "127.0.0.1:7000", FailureDomain: "arima"}
	m := membership.New(membership.WithSelf(self))
	for i := 1; i < size; i++ {
		m.Merge([]membership.Member{{
			ID: poplarwinch.InstanceID(fmt.Sprintf("entry-%d", i)), Address: fmt.Sprintf("127.0.0.1:%d", 7000+i),
			FailureDomain: "arima", Incarnation: 1, State: membership.StateAlive,
		}})
	}
	return m
}

func ExampleView_Owners() {
	m := newMembers(3)
	fmt.Println(m.Snapshot().Owners("engine-17", 2))
	// Output: [entry-2 entry-0]
}

// Unbalanced owners would overload single instances; unstable ones would move keys between live members
// at each membership change.
func TestOwnersAreBalancedAndStable(t *testing.T) {
	const keys, size = 3000, 30
	m := newMembers(size)
	before := m.Snapshot()
	m.Merge([]membership.Member{{ID: "entry-7", FailureDomain: "arima", Incarnation: 1, State: membership.StateDead}})
	after := m.Snapshot()
	count := map[poplarwinch.InstanceID]int{}
	for k := range keys {
		key := fmt.Sprint(k)
		was, is := before.Owners(key, 2), after.Owners(key, 2)
		count[was[0]]++
		if was[0] != "entry-7" && was[0] != is[0] {
			t.Fatalf("owner of %s changed from %s to %s though the former is live", key, was[0], is[0])
		}
		if was[0] == "entry-7" && was[1] != is[0] {
			t.Fatalf("owner of %s is %s, want the former second %s", key, is[0], was[1])
		}
	}
	for id, n := range count {
		if n < keys/size/2 || n > keys/size*2 {
			t.Errorf("%s owns %d of %d keys, want about %d", id, n, keys, keys/size)
		}
	}
}

// A malformed record must not enter the view, and a record that cannot be refuted must not mark this instance dead.
func TestInvalidRecordsAreIgnored(t *testing.T) {
	m := newMembers(1)
	m.Merge([]membership.Member{
		{FailureDomain: "arima", State: membership.StateAlive},
		{ID: "x", FailureDomain: "chaguanas", State: membership.StateAlive},
		{ID: "x", FailureDomain: "arima", State: "unknown"},
		{ID: "x", FailureDomain: "arima", State: membership.StateDead},
		{ID: "entry-0", FailureDomain: "arima", State: membership.StateDead, Incarnation: math.MaxUint64},
	})
	if v := m.Snapshot(); len(v.Known) != 1 || len(v.Live) != 1 || v.Self.State != membership.StateAlive {
		t.Errorf("view %+v, want only this instance, alive", v)
	}
}

func BenchmarkOwners(b *testing.B) {
	v := newMembers(90).Snapshot()
	for b.Loop() {
		v.Owners("engine-17", 2)
	}
}
