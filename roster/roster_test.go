package roster_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	emulator "github.com/poplarwinch/poplarwinch/emulator/roster"
	"github.com/poplarwinch/poplarwinch/roster"
)

// testEndpoints are a ready and a terminating engine in one failure domain and an unready entry instance in another.
const testEndpoints = `[
	{"id":"e1","kind":"engine","name":"drafting","ip":"127.0.0.1","ports":{"http":8000},"failure-domain":"arima"},
	{"id":"e2","kind":"engine","name":"drafting","ip":"127.0.0.2","ports":{"http":8000},"failure-domain":"arima","terminating":true},
	{"id":"i1","kind":"entry","name":"entry","ip":"127.0.0.3","ports":{"caller":80,"peer":81},"failure-domain":"chaguanas","not-ready":true}
]`

// startEmulator returns an emulator of the platform, a client of it and its URL.
func startEmulator(t *testing.T) (*emulator.Server, *roster.Roster, string) {
	t.Helper()
	server := emulator.New()
	httpServer := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Close()
		httpServer.Close()
	})
	return server, roster.New(roster.WithEndpoint(httpServer.URL), roster.WithTimeout(time.Second)), httpServer.URL
}

func putJSON(t *testing.T, url, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("PUT %s: status %d", url, response.StatusCode)
	}
}

// Guards against misread conditions, which would send new requests to an endpoint that is leaving, or none to one that
// is ready.
func TestList(t *testing.T) {
	_, client, url := startEmulator(t)
	putJSON(t, url+"/endpoints", testEndpoints)
	list, err := client.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range list {
		got = append(got, fmt.Sprint(e.ID, e.Kind, e.Name, e.FailureDomain, e.Address("http"), e.Address("peer"), e.Ready, e.Serving, e.Terminating))
	}
	want := []string{
		"e1enginedraftingarima127.0.0.1:8000true true false",
		"e2enginedraftingarima127.0.0.2:8000false true true",
		"i1entryentrychaguanas127.0.0.3:81false false false",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Fatalf("List() =\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against a document of the platform that is not read by the rules of its API, with absent conditions and an
// endpoint in two slices: an outdated copy of an endpoint must not hide its termination.
func TestPlatformDocument(t *testing.T) {
	document, err := os.ReadFile("testdata/slices.json")
	if err != nil {
		t.Fatal(err)
	}
	httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" || r.URL.Query().Get("labelSelector") != "poplarwinch/kind" {
			t.Errorf("request %s with header %v", r.URL, r.Header)
		}
		// A failed write is detected as an error of List.
		_, _ = w.Write(document)
	}))
	defer httpServer.Close()
	list, err := roster.New(roster.WithEndpoint(httpServer.URL), roster.WithToken("secret")).List(context.Background())
	if err != nil || len(list) != 2 {
		t.Fatalf("List() = %v, %v; want 2 endpoints", list, err)
	}
	if e := list[0]; e.ID != "uid-1" || !e.Terminating || e.Ready {
		t.Errorf("moved endpoint = %+v; want uid-1, terminating", e)
	}
	if e := list[1]; e.ID != "10.0.0.2:8000" || !e.Ready || !e.Serving || e.Terminating {
		t.Errorf("endpoint without conditions = %+v; want 10.0.0.2:8000, ready", e)
	}
}

// Guards against a failed read that returns an empty list, which would remove all upstreams.
func TestFaults(t *testing.T) {
	for name, f := range map[string]fault.Faults{
		"503": {Outage: fault.Unavailable}, "silent": {Outage: fault.Silent}, "lost reply": {DropReply: true},
		"delay": {DelayBefore: 3 * clock.Second}, "stalled": {StallConnections: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, client, url := startEmulator(t)
			putJSON(t, url+"/endpoints", testEndpoints)
			if _, err := client.List(context.Background()); err != nil {
				t.Fatal(err)
			}
			server.SetFaults(f)
			var unavailable *roster.UnavailableError
			if list, err := client.List(context.Background()); !errors.As(err, &unavailable) || list != nil {
				t.Errorf("List() during the fault = %v, %v", list, err)
			}
			if name != "stalled" {
				putJSON(t, url+"/faults", `{}`)
			}
			if list, err := client.List(context.Background()); err != nil || len(list) != 3 {
				t.Errorf("next List() = %v, %v; want 3 endpoints", list, err)
			}
		})
	}
	for _, body := range []string{`{"kind":"Status","items":[]}`, `{"kind":"EndpointSliceList","items":[`, ``} {
		httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		if list, err := roster.New(roster.WithEndpoint(httpServer.URL)).List(context.Background()); err == nil {
			t.Errorf("List() of %q = %v, want an error", body, list)
		}
		httpServer.Close()
	}
}

// Guards against an emulator that does not serve earlier lists, which tests of stale lists depend on.
func TestStaleList(t *testing.T) {
	manual := clock.NewManual(1_000_000)
	server := emulator.New(emulator.WithClock(manual.Clock()))
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	client := roster.New(roster.WithEndpoint(httpServer.URL))
	manual.Advance(clock.Minute)
	putJSON(t, httpServer.URL+"/endpoints", testEndpoints)
	putJSON(t, httpServer.URL+"/faults", `{"stale-ms": 30000}`)
	if list, err := client.List(context.Background()); err != nil || len(list) != 0 {
		t.Fatalf("List() = %v, %v; want the empty list of before", list, err)
	}
	manual.Advance(clock.Minute)
	if list, err := client.List(context.Background()); err != nil || len(list) != 3 {
		t.Fatalf("List() = %v, %v; want 3 endpoints", list, err)
	}
}

// Guards against a follower that misses a change, which would leave removed upstreams in use, and against one that
// reads the whole list for each change, which costs too much in a large fleet.
func TestFollow(t *testing.T) {
	server, client, url := startEmulator(t)
	putJSON(t, url+"/endpoints", testEndpoints)
	lists := make(chan []roster.Endpoint, 16)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- client.Follow(ctx, func(l []roster.Endpoint) { lists <- l }) }()
	if l := <-lists; len(l) != 3 {
		t.Fatalf("first list %v, want 3 endpoints", l)
	}
	for _, step := range []struct {
		body string
		want int
	}{
		{strings.Replace(testEndpoints, `"id":"e1"`, `"id":"e9"`, 1), 3},
		{`[{"id":"i1","kind":"entry","name":"entry","ip":"127.0.0.3","ports":{"caller":80,"peer":81},"failure-domain":"chaguanas"}]`, 1},
		{testEndpoints, 3},
	} {
		putJSON(t, url+"/endpoints", step.body)
		l := <-lists
		for len(l) != step.want {
			l = <-lists
		}
	}
	// The last change has two events, one for each of its slices.
	time.Sleep(100 * time.Millisecond)
	for len(lists) > 0 {
		<-lists
	}
	time.Sleep(200 * time.Millisecond)
	if len(lists) != 0 {
		t.Errorf("%d further lists without a change", len(lists))
	}
	if r := server.Record(); r.Reads != 2 {
		t.Errorf("%d requests for three changes, want the list and one watch", r.Reads)
	}
	server.Close()
	var unavailable *roster.UnavailableError
	server.SetFaults(fault.Faults{Outage: fault.Unavailable})
	if err := <-ended; !errors.As(err, &unavailable) {
		t.Errorf("Follow() = %v, want *UnavailableError", err)
	}
}
