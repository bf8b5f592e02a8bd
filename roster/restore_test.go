package roster_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	emulator "github.com/poplarwinch/poplarwinch/emulator/roster"
	"github.com/poplarwinch/poplarwinch/roster"
)

// engines returns endpoints, each in a slice of its own.
func engines(numbers ...int) []emulator.Endpoint {
	var list []emulator.Endpoint
	for _, n := range numbers {
		list = append(list, emulator.Endpoint{
			ID: fmt.Sprint("e", n), Kind: "engine", Name: "drafting", IP: "127.0.0.1", Ports: map[string]int{"http": 8000 + n}, FailureDomain: "arima",
		})
	}
	return list
}

// follow follows the list and returns a function that returns the ids of the last one.
func follow(t *testing.T, client *roster.Roster) func() []string {
	t.Helper()
	var last atomic.Pointer[[]string]
	last.Store(&[]string{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			_ = client.Follow(ctx, func(l []roster.Endpoint) {
				var ids []string
				for _, e := range l {
					ids = append(ids, e.ID)
				}
				slices.Sort(ids)
				last.Store(&ids)
			})
			time.Sleep(10 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return func() []string { return *last.Load() }
}

// awaitList waits up to 5 s until the last list has the ids.
func awaitList(t *testing.T, last func() []string, want ...string) {
	t.Helper()
	for range 500 {
		if slices.Equal(last(), want) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the list has %v, want %v", last(), want)
}

// Guards against a follower that keeps endpoints which a restored list doesn't have and misses others for ever, since versions that
// it knows were given out again for other lists.
func TestRestoredListWithVersionsGivenOutAgain(t *testing.T) {
	server, client, _ := startEmulator(t)
	server.SetEndpoints(engines(1))
	time.Sleep(300 * time.Millisecond)
	server.SetEndpoints(engines(1, 2))
	server.SetEndpoints(engines(1, 2, 3))
	last := follow(t, client)
	awaitList(t, last, "e1", "e2", "e3")
	server.Restore(clock.FromDuration(250 * time.Millisecond))
	server.SetEndpoints(engines(1, 4))
	server.SetEndpoints(engines(1, 4, 5))
	server.SetEndpoints(engines(1, 4, 5, 6))
	awaitList(t, last, "e1", "e4", "e5", "e6")
}

// Guards against a follower that keeps the list of before a restore.
func TestRestoredList(t *testing.T) {
	server, client, _ := startEmulator(t)
	server.SetEndpoints(engines(1))
	time.Sleep(300 * time.Millisecond)
	server.SetEndpoints(engines(1, 2))
	server.SetEndpoints(engines(1, 2, 3))
	last := follow(t, client)
	awaitList(t, last, "e1", "e2", "e3")
	server.Restore(clock.FromDuration(250 * time.Millisecond))
	awaitList(t, last, "e1")
}

// emptyList is a list without endpoints.
const emptyList = `{"kind":"EndpointSliceList","metadata":{"resourceVersion":"9"},"items":[]}`

// Guards against reading the whole list again and again without a pause while the platform expires each version at once.
func TestExpiredVersionsAreReadWithPauses(t *testing.T) {
	var lists atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "true" {
			w.WriteHeader(http.StatusGone)
			return
		}
		lists.Add(1)
		_, _ = w.Write([]byte(emptyList)) // a failed write is an error of the client
	}))
	defer server.Close()
	follow(t, roster.New(roster.WithEndpoint(server.URL)))
	time.Sleep(1500 * time.Millisecond)
	if n := lists.Load(); n > 3 {
		t.Errorf("the whole list was read %d times in 1.5 s, want once a second", n)
	}
}

// Guards against a follower that keeps an old list for ever because a restored platform waits until its versions reach the known one.
func TestSilentWatchesDontKeepAnOldList(t *testing.T) {
	var lists atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "true" {
			http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
			return
		}
		lists.Add(1)
		_, _ = w.Write([]byte(emptyList)) // a failed write is an error of the client
	}))
	defer server.Close()
	follow(t, roster.New(roster.WithEndpoint(server.URL), roster.WithWatchTimeout(time.Second), roster.WithMaxReadInterval(1500*time.Millisecond)))
	time.Sleep(5 * time.Second)
	if n := lists.Load(); n < 2 || n > 4 {
		t.Errorf("the whole list was read %d times in 5 s, want after each second watch", n)
	}
}
