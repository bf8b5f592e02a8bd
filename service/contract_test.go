package service_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	emulated "github.com/poplarwinch/poplarwinch/emulator/service"
	"github.com/poplarwinch/poplarwinch/service"
)

// start starts an emulated service and returns it with its address.
func start(t *testing.T, opts ...emulated.Option) (*emulated.Service, string) {
	t.Helper()
	e := emulated.New(opts...)
	s := httptest.NewUnstartedServer(e)
	s.Config.ConnState = e.ConnState
	s.Start()
	t.Cleanup(func() {
		e.Close()
		s.CloseClientConnections()
		s.Close()
	})
	return e, s.Listener.Addr().String()
}

// contextWithTimeout returns a context that ends after d.
func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// booking returns a POST call with an idempotency key and hop-by-hop headers.
func booking(key string) service.Call {
	h := http.Header{"Idempotency-Key": {key}, "Content-Type": {"application/json"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}
	return service.Call{Method: http.MethodPost, Path: "/bookings", Header: h, Body: []byte(`{"seat":1}`)}
}

// classify returns a name for the type of a client error.
func classify(err error) string {
	var (
		notSent     *service.NotSentError
		refused     *service.RefusedError
		interrupted *service.InterruptedError
	)
	switch {
	case err == nil:
		return "answer"
	case errors.As(err, &notSent):
		return "not sent"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &interrupted):
		return "interrupted"
	}
	return "untyped"
}

// Guards against calls that run twice: by an error type that means "not run" for a call that ran, so that it would be
// retried, or by the transport's own retries.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults emulated.Faults
		want   string
		ran    int
	}{
		{"none", emulated.Faults{}, "answer", 1},
		{"reply dropped", emulated.Faults{DropReply: 1}, "interrupted", 1},
		{"refused", emulated.Faults{Refuse: 1}, "refused", 0},
		{"truncated", emulated.Faults{Truncate: 1}, "interrupted", 1},
		{"unframed", emulated.Faults{Unframed: 1}, "interrupted", 1},
		{"crash", emulated.Faults{Crash: 1}, "interrupted", 1},
		{"crash marker", emulated.Faults{CrashMarker: "seat"}, "interrupted", 1},
		{"hang", emulated.Faults{Hang: true}, "interrupted", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, address := start(t)
			client := service.New()
			warm := service.Call{Method: http.MethodGet, Path: "/warm"}
			if _, err := client.Do(contextWithTimeout(t, 20*time.Second), address, warm); err != nil {
				t.Fatal(err)
			}
			e.SetFaults(c.faults)
			limit := 20 * time.Second
			if c.faults.Hang {
				limit = 300 * time.Millisecond
			}
			a, err := client.Do(contextWithTimeout(t, limit), address, booking("k"))
			if got := classify(err); got != c.want {
				t.Fatalf("%s (%v), want %s", got, err, c.want)
			}
			if err == nil && (a.Status != 200 || string(a.Body) != `{"execution":2,"key":"k","path":"/bookings"}`) {
				t.Fatalf("answer %d %s", a.Status, a.Body)
			}
			if n := e.Record().Counts["POST /bookings k"]; n != c.ran {
				t.Fatalf("ran %d times, want %d", n, c.ran)
			}
		})
	}
}

// Guards against an error type other than NotSentError for a refused connection: only then may a non-repeatable call be
// sent to another server after a transport error.
func TestNothingListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	if _, err := service.New().Do(contextWithTimeout(t, 20*time.Second), address, booking("k")); classify(err) != "not sent" {
		t.Fatalf("%s: %v", classify(err), err)
	}
}

// Guards against a path that redirects a call to another address.
func TestPathCannotChangeAddress(t *testing.T) {
	_, address := start(t)
	for _, path := range []string{"@127.0.0.2/x", ".example/x", "0/x"} {
		if _, err := service.New().Do(contextWithTimeout(t, 20*time.Second), address, service.Call{Method: "GET", Path: path}); classify(err) != "not sent" {
			t.Fatalf("path %q: %v", path, err)
		}
	}
}

// Guards against calls on a reused connection, which may be stalled or half closed, or deliver a late copy of an earlier answer.
func TestFreshConnectionForEachCall(t *testing.T) {
	e, address := start(t)
	client := service.New()
	for i := range 3 {
		if _, err := client.Do(contextWithTimeout(t, 20*time.Second), address, booking(fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	remotes := map[string]bool{}
	for _, x := range e.Record().Executions {
		remotes[x.Remote] = true
	}
	if len(remotes) != 3 {
		t.Fatalf("%d connections, want 3", len(remotes))
	}
}

// Guards against retries by net/http, which resends a POST with an Idempotency-Key when a reused connection breaks. The
// control case with a plain transport shows that the emulated fault triggers this.
func TestTransportDoesNotResend(t *testing.T) {
	send := map[string]func(address, key string) error{
		"plain transport": func() func(string, string) error {
			c := &http.Client{Transport: &http.Transport{}}
			return func(address, key string) error {
				r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/bookings", strings.NewReader("{}"))
				r.Header.Set("Idempotency-Key", key)
				a, err := c.Do(r)
				if err == nil {
					_, _ = fmt.Fscan(a.Body, new(string))
					a.Body.Close()
				}
				return err
			}
		}(),
	}
	c := service.New()
	send["client"] = func(address, key string) error {
		_, err := c.Do(context.Background(), address, booking(key))
		return err
	}
	for name, do := range send {
		t.Run(name, func(t *testing.T) {
			e, address := start(t)
			if err := do(address, "first"); err != nil {
				t.Fatal(err)
			}
			e.SetFaults(emulated.Faults{DropReply: 1})
			err := do(address, "second")
			want := 1
			if name == "plain transport" {
				want = 2
			}
			if n := e.Record().Counts["POST /bookings second"]; n != want || (err == nil) != (want == 2) {
				t.Fatalf("ran %d times, want %d (error %v)", n, want, err)
			}
		})
	}
}

// Guards against truncating a response above the size limit, with and without Content-Length.
func TestOversizedResponse(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if chunked {
				_ = http.NewResponseController(w).Flush()
			}
			_, _ = w.Write(make([]byte, 1001))
		}))
		c := service.New(service.WithMaxAnswer(1000))
		if a, err := c.Do(contextWithTimeout(t, 20*time.Second), s.Listener.Addr().String(), booking("k")); classify(err) != "interrupted" {
			t.Fatalf("chunked=%t: %v, %v", chunked, a, err)
		}
		s.Close()
	}
}

// Guards against incomplete responses of any status and size: claims record them and replay them for repeated requests.
func TestStatusAndSize(t *testing.T) {
	_, address := start(t)
	for _, c := range []struct{ status, size int }{{200, 100_000}, {409, 70_000}, {503, 40}, {204, 0}} {
		call := booking("k")
		call.Path += fmt.Sprintf("?status=%d&answer-bytes=%d", c.status, c.size)
		a, err := service.New().Do(contextWithTimeout(t, 20*time.Second), address, call)
		if err != nil || a.Status != c.status || len(a.Body) < c.size {
			t.Fatalf("%+v: %+v, %v", c, a, err)
		}
	}
}

// Guards against stalled connections that block later calls.
func TestStalledConnections(t *testing.T) {
	e, address := start(t)
	c := service.New()
	call := booking("k")
	if _, err := c.Do(contextWithTimeout(t, 20*time.Second), address, call); err != nil {
		t.Fatal(err)
	}
	e.SetFaults(emulated.Faults{StallConnections: true})
	for range 2 {
		if _, err := c.Do(contextWithTimeout(t, 20*time.Second), address, call); err != nil {
			t.Fatalf("after the stall: %v", err)
		}
	}
	if n := e.Record().Counts["POST /bookings k"]; n != 3 {
		t.Fatalf("ran %d times, want 3", n)
	}
}
