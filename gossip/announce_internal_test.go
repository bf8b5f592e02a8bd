package gossip

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

// holder returns an instance with a replica of one table at a version.
func holder(t testing.TB, version replica.Version) (*Gossip, *replica.Replica) {
	t.Helper()
	r := replica.New("servers")
	if version != 0 {
		r.Merge(replica.Batch{Rows: []replica.Row{{Key: "a", Version: 1}}, Version: version, Complete: true})
	}
	g, err := New(Member{ID: "i", Domain: "north"}, WithFleet(fleet.New()), WithSuspects(quarantine.New()),
		WithReplicas(map[string]*replica.Replica{"servers": r}))
	if err != nil {
		t.Fatal(err)
	}
	return g, r
}

// at returns a position of the first era.
func at(version replica.Version) replica.Position { return replica.Position{Version: version} }

// Guards against each peer opening a connection to the follower at each change, and against gaps: changes are in the announcement,
// and only an instance that has everything before them takes them from there.
func TestChangesAreAnnounced(t *testing.T) {
	follower, table := holder(t, 5)
	if list := follower.changes(); len(list) != 0 {
		t.Fatalf("the first announcement has %+v, want versions only", list)
	}
	table.Merge(replica.Batch{Rows: []replica.Row{{Key: "b", Version: 8}, {Key: "a", Version: 9, Deleted: true}}, Version: 10})
	list := follower.changes()
	if len(list) != 1 || len(list[0].Rows) != 2 {
		t.Fatalf("got %+v, want the two changed rows", list)
	}
	for version, want := range map[replica.Version]replica.Version{0: 0, 3: 3, 5: 10, 20: 20} {
		peer, own := holder(t, version)
		peer.mergeChanges(list)
		if got, _ := own.Position(); got.Version != want {
			t.Errorf("a peer at version %d is at %d after the announcement, want %d", version, got.Version, want)
		}
	}
	late := []tableChanges{{Table: "servers", After: at(10), To: at(12), Rows: []replica.Row{{Key: "c", Version: 12}}}}
	peer, own := holder(t, 5)
	peer.mergeChanges(late)
	if got, _ := own.Position(); got.Version != 5 {
		t.Errorf("a peer that missed changes is at version %d, want 5", got.Version)
	}
}

// Guards against datagrams that are too large to be sent: large changes are fetched.
func TestLargeChangesAreNotAnnounced(t *testing.T) {
	follower, table := holder(t, 5)
	follower.changes()
	table.Merge(replica.Batch{Rows: []replica.Row{{Key: "b", Version: 8, Value: make([]byte, maxChangeBytes)}}, Version: 8})
	if list := follower.changes(); len(list) != 0 {
		t.Errorf("%d bytes are announced, want at most %d", rowBytes(list[0].Rows), maxChangeBytes)
	}
}
