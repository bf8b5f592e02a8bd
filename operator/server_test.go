package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/operator"
)

// newServer returns a server whose commits succeed if they replace version 3.
func newServer(opts ...operator.Option) *operator.Server {
	s := operator.New(opts...)
	s.Status = func() operator.Status {
		return operator.Status{
			Instance: "entry-1", Version: "1.0", FailureDomain: "arima", Manifest: operator.ManifestVersion{Version: 3, Digest: "d3"},
			Peers:      []operator.Peer{{Instance: "entry-2", State: "suspect"}},
			Rejections: map[poplarwinch.Kind]uint64{poplarwinch.KindOverloaded: 2},
		}
	}
	s.Manifest = func(context.Context) ([]byte, operator.ManifestVersion, error) {
		return []byte(`{"service":"doors"}`), operator.ManifestVersion{Version: 3, Digest: "d3"}, nil
	}
	s.Commit = func(_ context.Context, data []byte, replaces uint64, commitID string) (operator.ManifestVersion, error) {
		switch {
		case commitID == "lost":
			return operator.ManifestVersion{}, errors.New("secret cause")
		case replaces != 3:
			return operator.ManifestVersion{}, &poplarwinch.Error{
				Kind: poplarwinch.KindConflict, Outcome: poplarwinch.OutcomeNotRun, Message: "version 3 is active", Remedy: "replace version 3",
			}
		}
		return operator.ManifestVersion{Version: 4, Digest: fmt.Sprintf("d%d", len(data))}, nil
	}
	s.Ready = func() error { return nil }
	return s
}

func send(s *operator.Server, method, path string, body io.Reader, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, body)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

// A deployment pipeline must be able to see from the reply whether the commit took effect and what to do next.
func TestCommit(t *testing.T) {
	manifest := []byte(`{"service":"doors"}`)
	for name, c := range map[string]struct {
		body    []byte
		headers []string
		status  int
		kind    poplarwinch.Kind
		outcome poplarwinch.Outcome
	}{
		"accepted":             {manifest, []string{"Replaces: 3", "Commit-Id: c1"}, 200, "", ""},
		"conflict":             {manifest, []string{"Replaces: 2", "Commit-Id: c1"}, 409, poplarwinch.KindConflict, poplarwinch.OutcomeNotRun},
		"no version":           {manifest, []string{"Commit-Id: c1"}, 400, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
		"negative version":     {manifest, []string{"Replaces: -1", "Commit-Id: c1"}, 400, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
		"no commit id":         {manifest, []string{"Replaces: 3"}, 400, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
		"long commit id":       {manifest, []string{"Replaces: 3", "Commit-Id: " + strings.Repeat("c", 129)}, 400, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
		"empty body":           {nil, []string{"Replaces: 3", "Commit-Id: c1"}, 400, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
		"body above the limit": {make([]byte, 8<<20+1), []string{"Replaces: 3", "Commit-Id: c1"}, 413, poplarwinch.KindTooLarge, poplarwinch.OutcomeNotRun},
		"reply of the table lost": {
			manifest, []string{"Replaces: 3", "Commit-Id: lost"}, 500, poplarwinch.KindInternal, poplarwinch.OutcomeUnknown,
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := send(newServer(), http.MethodPut, "/manifest", bytes.NewReader(c.body), c.headers...)
			var reply struct {
				Version uint64
				Digest  string
				Error   struct {
					Type            poplarwinch.Kind
					Message, Remedy string
					Outcome         poplarwinch.Outcome
				}
			}
			if err := json.Unmarshal(w.Body.Bytes(), &reply); err != nil {
				t.Fatalf("reply: %v\n%s", err, w.Body)
			}
			if w.Code != c.status || reply.Error.Type != c.kind || reply.Error.Outcome != c.outcome {
				t.Errorf("reply %d %+v, want %d, %s, %s", w.Code, reply, c.status, c.kind, c.outcome)
			}
			if c.status == 200 && (reply.Version != 4 || reply.Digest != "d19") {
				t.Errorf("reply %+v, want version 4 and the digest", reply)
			}
			if c.status != 200 && (reply.Error.Message == "" || reply.Error.Remedy == "") {
				t.Errorf("reply %+v lacks message or remedy", reply)
			}
			if strings.Contains(w.Body.String(), "secret cause") {
				t.Error("the cause of an internal error was sent")
			}
		})
	}
}

// Without the token nobody may read the status or commit a manifest, but load balancers still need the health paths.
func TestToken(t *testing.T) {
	s := newServer(operator.WithToken("t0ken"))
	for path, public := range map[string]bool{"/healthz": true, "/readyz": true, "/status": false, "/manifest": false, "/metrics": false} {
		for header, accepted := range map[string]bool{"": false, "Bearer t0ke": false, "t0ken": false, "Bearer t0ken": true} {
			want := http.StatusUnauthorized
			if public || accepted {
				want = http.StatusOK
			}
			if w := send(s, http.MethodGet, path, nil, "Authorization: "+header); w.Code != want {
				t.Errorf("GET %s with %q: %d, want %d", path, header, w.Code, want)
			}
		}
	}
	if w := send(s, http.MethodPut, "/manifest", strings.NewReader("{}"), "Replaces: 3", "Commit-Id: c1"); w.Code != http.StatusUnauthorized {
		t.Errorf("PUT /manifest without token: %d, want 401", w.Code)
	}
}

// Programs parse the status; a null list or a differently spelled field would break them.
func TestStatusFormat(t *testing.T) {
	var got map[string]any
	if err := json.Unmarshal(send(newServer(), http.MethodGet, "/status", nil).Body.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{"instance", "version", "failure-domain", "ready", "manifest", "peers", "upstreams", "requests-in-flight", "rejections", "alarms"} {
		if got[field] == nil {
			t.Errorf("status has no %s: %v", field, got)
		}
	}
}

// A server that continues after its context has ended would keep the address of a stopped instance in use.
func TestServeEndsWithItsContext(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	serveResult := make(chan error, 1)
	go func() { serveResult <- newServer().Serve(ctx, l) }()
	response, err := http.Get("http://" + l.Addr().String() + "/healthz")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("GET /healthz: %v, %v", response, err)
	}
	response.Body.Close()
	cancel()
	if err := <-serveResult; err != nil {
		t.Errorf("Serve() = %v", err)
	}
}

// Every failure must have a JSON body, and a wrong method must be answered with the allowed ones.
func TestOtherReplies(t *testing.T) {
	s := newServer()
	if w := send(s, http.MethodGet, "/metrics", nil); w.Code != 200 || !strings.Contains(w.Body.String(), "process_") {
		t.Errorf("GET /metrics: %d, no process metrics", w.Code)
	}
	var got struct {
		Version  uint64
		Digest   string
		Manifest struct{ Service string }
	}
	if w := send(s, http.MethodGet, "/manifest", nil); json.Unmarshal(w.Body.Bytes(), &got) != nil ||
		got.Version != 3 || got.Digest != "d3" || got.Manifest.Service != "doors" {
		t.Errorf("GET /manifest: %s", w.Body)
	}
	if w := send(s, http.MethodDelete, "/manifest", nil); w.Code != 405 || strings.Join(w.Header().Values("Allow"), ",") != "GET,PUT" {
		t.Errorf("DELETE /manifest: %d, Allow %v", w.Code, w.Header().Values("Allow"))
	}
	s.Ready = func() error { return errors.New("no manifest yet") }
	s.Manifest = func(context.Context) ([]byte, operator.ManifestVersion, error) {
		return nil, operator.ManifestVersion{}, &poplarwinch.Error{Kind: poplarwinch.KindNotFound, Message: "no manifest yet"}
	}
	for path, status := range map[string]int{"/readyz": 503, "/manifest": 404, "/unknown": 404} {
		w := send(s, http.MethodGet, path, nil)
		if w.Code != status || !strings.HasPrefix(w.Body.String(), "{\n  \"error\"") {
			t.Errorf("GET %s: %d %s, want %d and an error", path, w.Code, w.Body, status)
		}
	}
}
