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

const endpoints = `[
	{"id":"e1","kind":"engine","name":"drafting","ip":"127.0.0.1","ports":{"http":8000},"failure-domain":"arima"},
	{"id":"e2","kind":"engine","name":"drafting","ip":"127.0.0.2","ports":{"http":8000},"failure-domain":"arima","terminating":true},
	{"id":"i1","kind":"entry","name":"entry","ip":"127.0.0.3","ports":{"caller":80,"peer":81},"failure-domain":"chaguanas","not-ready":true}
]`

func start(t *testing.T) (*emulator.Server, *roster.Roster, string) {
	t.Helper()
	s := emulator.New()
	h := httptest.NewServer(s)
	t.Cleanup(func() {
		s.Close()
		h.Close()
	})
	return s, roster.New(roster.WithEndpoint(h.URL), roster.WithTimeout(time.Second)), h.URL
}

func set(t *testing.T, url, body string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("PUT %s: status %d", url, response.StatusCode)
	}
}

// A misread condition sends new work to an instance that is leaving, or none to one that serves.
func TestList(t *testing.T) {
	_, c, url := start(t)
	set(t, url+"/endpoints", endpoints)
	list, err := c.List(context.Background())
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

// A document as the platform writes it, with absent conditions and an endpoint in two slices, must be read by the rules
// of its API; a copy that is not up to date must not hide a termination.
func TestPlatformDocument(t *testing.T) {
	document, err := os.ReadFile("testdata/slices.json")
	if err != nil {
		t.Fatal(err)
	}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer secret" || r.URL.Query().Get("labelSelector") != "poplarwinch/kind" {
			t.Errorf("request %s with header %v", r.URL, r.Header)
		}
		// A failed write shows as a failed List.
		_, _ = w.Write(document)
	}))
	defer h.Close()
	list, err := roster.New(roster.WithEndpoint(h.URL), roster.WithToken("secret")).List(context.Background())
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

// A failed read that looks like an empty list would remove all upstreams.
func TestFaults(t *testing.T) {
	for name, f := range map[string]fault.Faults{
		"503": {Outage: fault.Unavailable}, "silent": {Outage: fault.Silent}, "lost reply": {LoseReply: true},
		"delay": {DelayBefore: 3 * clock.Second}, "stalled": {StallConnections: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c, url := start(t)
			set(t, url+"/endpoints", endpoints)
			if _, err := c.List(context.Background()); err != nil {
				t.Fatal(err)
			}
			s.SetFaults(f)
			var unavailable *roster.UnavailableError
			if list, err := c.List(context.Background()); !errors.As(err, &unavailable) || list != nil {
				t.Errorf("List() during the fault = %v, %v", list, err)
			}
			if name != "stalled" {
				set(t, url+"/faults", `{}`)
			}
			if list, err := c.List(context.Background()); err != nil || len(list) != 3 {
				t.Errorf("next List() = %v, %v; want 3 endpoints", list, err)
			}
		})
	}
	for _, body := range []string{`{"kind":"Status","items":[]}`, `{"kind":"EndpointSliceList","items":[`, ``} {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		if list, err := roster.New(roster.WithEndpoint(h.URL)).List(context.Background()); err == nil {
			t.Errorf("List() of %q = %v, want an error", body, list)
		}
		h.Close()
	}
}

// Tests of stale lists need an emulator that serves the list of an earlier time.
func TestStaleList(t *testing.T) {
	m := clock.NewManual(1_000_000)
	s := emulator.New(emulator.WithClock(m.Clock()))
	h := httptest.NewServer(s)
	defer h.Close()
	c := roster.New(roster.WithEndpoint(h.URL))
	m.Advance(clock.Minute)
	set(t, h.URL+"/endpoints", endpoints)
	set(t, h.URL+"/faults", `{"stale-ms": 30000}`)
	if list, err := c.List(context.Background()); err != nil || len(list) != 0 {
		t.Fatalf("List() = %v, %v; want the empty list of before", list, err)
	}
	m.Advance(clock.Minute)
	if list, err := c.List(context.Background()); err != nil || len(list) != 3 {
		t.Fatalf("List() = %v, %v; want 3 endpoints", list, err)
	}
}

// A follower that misses a change keeps sending work to an instance that left, and one that reads the whole list at each
// change costs too much in a large fleet.
func TestFollow(t *testing.T) {
	s, c, url := start(t)
	set(t, url+"/endpoints", endpoints)
	lists := make(chan []roster.Endpoint, 16)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- c.Follow(ctx, func(l []roster.Endpoint) { lists <- l }) }()
	if l := <-lists; len(l) != 3 {
		t.Fatalf("first list %v", l)
	}
	for _, step := range []struct {
		body string
		want int
	}{
		{strings.Replace(endpoints, `"id":"e1"`, `"id":"e9"`, 1), 3},
		{`[{"id":"i1","kind":"entry","name":"entry","ip":"127.0.0.3","ports":{"caller":80,"peer":81},"failure-domain":"chaguanas"}]`, 1},
		{endpoints, 3},
	} {
		set(t, url+"/endpoints", step.body)
		l := <-lists
		for len(l) != step.want {
			l = <-lists
		}
	}
	// The last change has one event for each of its two slices.
	time.Sleep(100 * time.Millisecond)
	for len(lists) > 0 {
		<-lists
	}
	time.Sleep(200 * time.Millisecond)
	if len(lists) != 0 {
		t.Errorf("%d further lists without a change", len(lists))
	}
	if r := s.Record(); r.Reads != 2 {
		t.Errorf("%d requests for three changes, want the list and one watch", r.Reads)
	}
	s.Close()
	var unavailable *roster.UnavailableError
	s.SetFaults(fault.Faults{Outage: fault.Unavailable})
	if err := <-ended; !errors.As(err, &unavailable) {
		t.Errorf("Follow() = %v, want *UnavailableError", err)
	}
}
