package gossip

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

// Guards against an instance that runs out of memory and bandwidth because all others, restarted at the same time, fetch whole tables
// from it: calls beyond a few at a time are rejected at once.
func TestFetchesAreLimited(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(limitCalls(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-release
	})))
	defer server.Close()
	statuses := make(chan int, maxFetchCalls)
	get := func() int {
		response, err := http.Get(server.URL)
		if err != nil {
			t.Error(err)
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	for range maxFetchCalls {
		go func() { statuses <- get() }()
		<-begun
	}
	if status := get(); status != http.StatusServiceUnavailable {
		t.Errorf("one call too many: status %d, want %d", status, http.StatusServiceUnavailable)
	}
	close(release)
	for range maxFetchCalls {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d, want %d", status, http.StatusOK)
		}
	}
}

// Guards against a restarted instance that waits for a peer which can't send a table: it reads the table itself at once.
func TestTableIsReadAfterFailedFetch(t *testing.T) {
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer busy.Close()
	ids := members(10)
	slices.SortFunc(ids, compareByHash)
	table := replica.New("servers")
	table.SetFollowing(false)
	time := clock.NewManual(1000)
	g, err := New(Member{ID: ids[9], Domain: "north"}, WithFleet(fleet.New()), WithSuspects(quarantine.New()), WithClock(time.Clock()),
		WithReplicas(map[string]*replica.Replica{"servers": table}))
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range ids[:9] {
		g.peers[id] = &peerState{Member: Member{ID: id, Domain: "north"}, heardAt: 1000, cell: g.cell}
	}
	if g.updateFollowing(); table.Following() {
		t.Fatal("the last of ten instances follows the table")
	}
	address := netip.MustParseAddrPort(strings.TrimPrefix(busy.URL, "http://"))
	g.runFetch(Member{ID: ids[0], Domain: "north", Address: address}, "servers", replica.Position{})
	if !table.Following() {
		t.Error("the instance does not read the table after a peer failed to send it")
	}
	table.Merge(replica.Batch{Rows: []replica.Row{{Key: "a", Version: 1}}, Version: 1, Complete: true})
	if g.updateFollowing(); table.Following() {
		t.Error("the instance goes on following the table")
	}
}

// Guards against a table that is taken from a malformed answer of a peer, or from a part of one.
func TestBrokenAnswersOfPeers(t *testing.T) {
	table := replica.New("servers")
	g, err := New(Member{ID: "one", Domain: "north"}, WithFleet(fleet.New()), WithSuspects(quarantine.New()),
		WithReplicas(map[string]*replica.Replica{"servers": table}))
	if err != nil {
		t.Fatal(err)
	}
	body, err := g.codec.Marshal(&fetchResponse{Position: replica.Position{Version: 7}, Complete: true})
	if err != nil {
		t.Fatal(err)
	}
	raw.ServeEach(raw.Broken(), "Content-Type: application/"+g.codec.Name()+"\r\n", string(body), func(broken *raw.Answer, address string) {
		g.runFetch(Member{ID: "two", Domain: "north", Address: netip.MustParseAddrPort(address)}, "servers", replica.Position{})
		if got, _ := table.Position(); got.Version != 0 {
			t.Errorf("%s: the table has version %d", broken.Name, got.Version)
		}
	})
}
