package instance_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"

	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
	emulatedobjects "github.com/poplarwinch/poplarwinch/emulator/objects"
	emulatedroster "github.com/poplarwinch/poplarwinch/emulator/roster"
	emulatedservice "github.com/poplarwinch/poplarwinch/emulator/service"
	emulatedtable "github.com/poplarwinch/poplarwinch/emulator/table"
	"github.com/poplarwinch/poplarwinch/instance"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/settings"
)

const (
	testKey     = "test-key-one"
	otherKey    = "test-key-two"
	testSecret  = "a-peer-secret-for-tests"
	startBudget = 15 * time.Second
)

// world is a small deployment in one process: emulated platform, engines and servers, and entry instances.
type world struct {
	t        testing.TB
	table    *emulatedtable.Server
	objects  *emulatedobjects.Server
	roster   *emulatedroster.Server
	engines  []*emulatedengine.Engine
	services []*emulatedservice.Service
	urls     map[string]string
	servers  map[string]*httptest.Server
	list     []emulatedroster.Endpoint
	nodes    []*node
	options  []instance.Option
	log      *syncBuffer
}

// node is one running entry instance.
type node struct {
	id       string
	caller   string
	peer     string
	operator string
	stop     context.CancelFunc
	done     chan error
}

// syncBuffer is a log target for several goroutines.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(p)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

type worldOptions struct {
	engines, services int
	engine            []emulatedengine.Option
	domains           []string
	instance          []instance.Option
}

func newWorld(t testing.TB, o worldOptions) *world {
	t.Helper()
	w := &world{t: t, urls: map[string]string{}, servers: map[string]*httptest.Server{}, log: &syncBuffer{}, options: o.instance}
	if len(o.domains) == 0 {
		o.domains = []string{"domain-a"}
	}
	w.table, w.objects, w.roster = emulatedtable.New(), emulatedobjects.New(), emulatedroster.New()
	w.listen("table", w.table)
	w.listen("objects", w.objects)
	w.listen("roster", w.roster)
	for i := range o.engines {
		options := append([]emulatedengine.Option{
			emulatedengine.WithPrefillRate(2_000_000), emulatedengine.WithStep(2), emulatedengine.WithWaitingInterval(50),
			emulatedengine.WithModels(emulatedengine.Model{Name: "drafting", Version: "1", Adapters: []emulatedengine.Adapter{{Name: "notes", Version: "1"}}}),
		}, o.engine...)
		var server *httptest.Server
		// A crashed process refuses connections.
		options = append(options, emulatedengine.WithCrash(func() { _ = server.Listener.Close() }))
		e := emulatedengine.New(options...)
		w.engines = append(w.engines, e)
		server = w.listed(fmt.Sprintf("engine-%d", i), "engine", "drafting", o.domains[i%len(o.domains)], e)
	}
	for i := range o.services {
		s := emulatedservice.New()
		w.services = append(w.services, s)
		w.listed(fmt.Sprintf("bookings-%d", i), "service", "bookings", o.domains[i%len(o.domains)], s)
	}
	w.roster.SetEndpoints(w.list)
	t.Cleanup(w.close)
	return w
}

func (w *world) listen(name string, h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	if c, ok := h.(interface {
		ConnState(n net.Conn, s http.ConnState)
	}); ok {
		server.Config.ConnState = c.ConnState
	}
	server.Start()
	w.urls[name], w.servers[name] = server.URL, server
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

func (w *world) listed(id, kind, pool, domain string, h http.Handler) *httptest.Server {
	server := w.listen(id, h)
	host, port, _ := net.SplitHostPort(server.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	w.list = append(w.list, emulatedroster.Endpoint{
		ID: id, Kind: kind, Name: pool, IP: host, Ports: map[string]int{"http": number}, FailureDomain: domain,
	})
	return server
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.stop()
	}
	for _, n := range w.nodes {
		<-n.done
	}
	for _, e := range w.engines {
		e.Close()
	}
	if w.t.Failed() {
		w.t.Logf("log:\n%s", w.log.String())
	}
}

// lastPort is the last port that freeAddress returned. The range lies below the one from which the system takes ports for
// connections and for listeners without a port, which could take an address between its choice and its use.
var lastPort atomic.Int64

func init() { lastPort.Store(20_000 + rand.Int64N(10_000)) }

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 20_000+lastPort.Add(1)%12_000)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// start starts an entry instance in the failure domain, with the given instances as seeds.
func (w *world) start(id, domain string, seeds ...*node) *node {
	w.t.Helper()
	n := &node{
		id: id, caller: freeAddress(w.t), peer: freeAddress(w.t), operator: freeAddress(w.t), done: make(chan error, 1),
	}
	seedLine := ""
	for i, s := range seeds {
		seedLine += map[bool]string{true: "seeds = ", false: ", "}[i == 0] + s.peer
	}
	directory := w.t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			w.t.Fatal(err)
		}
		return path
	}
	write("secret", testSecret)
	path := write("settings.ini", fmt.Sprintf(`
[instance]
id = %s
service = test-service
region = test
failure-domain = %s
[listen]
caller = %s
peer = %s
operator = %s
[platform]
table-endpoint = %s
table-name = test
objects-endpoint = %s
bucket = test
region = test
access-key-id = test
secret-access-key-file = secret
instance-list = %s
timeout-ms = 500
[peers]
secret-file = secret
%s
[stop]
unready-ms = 100
`, id, domain, n.caller, n.peer, n.operator, w.urls["table"], w.urls["objects"], w.urls["roster"], seedLine))
	s, err := settings.Load(path)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	i, err := instance.New(s, append([]instance.Option{
		instance.WithLog(&log.Logger{Handler: logjson.New(w.log), Level: log.InfoLevel}),
	}, w.options...)...)
	if err != nil {
		w.t.Fatal(err)
	}
	go func() { n.done <- i.Run(ctx) }()
	w.nodes = append(w.nodes, n)
	return n
}

const testManifest = `{
  "service": "test-service",
  "final-date": "2099-12-31Z",
  "limits": {"default-timeout-ms": 20000, "max-timeout-ms": 30000, "max-prompt-tokens": 1000000},
  "models": [{"name": "drafting", "version": "1", "context-tokens": 1000000, "bytes-per-token": 4,
    "adapters": [{"name": "notes", "version": "1"}], "min-engines": 1}],
  "services": [{"name": "bookings", "timeout-ms": 5000, "non-repeatable": [{"method": "POST", "path": "/bookings"}]}],
  "engines": {"checks-fencing-numbers": true, "memory-tokens": 400000, "prefill-tokens-per-second": 40000, "max-concurrent-loads": 2},
  "customers": [
    {"id": "one", "weight": 2, "key-hashes": ["HASH1"], "max-requests-in-flight": 64, "max-tokens-in-flight": 8000000, "models": ["drafting"], "services": ["bookings"]},
    {"id": "two", "weight": 1, "key-hashes": ["HASH2"], "max-requests-in-flight": 4, "max-tokens-in-flight": 4000000, "models": ["drafting"]}
  ]
}`

func manifestText() string {
	return strings.NewReplacer("HASH1", manifest.HashKey(testKey), "HASH2", manifest.HashKey(otherKey)).Replace(testManifest)
}

// commit commits the manifest through the operator server of n and waits until the instances are ready.
func (w *world) commit(n *node, text string, replaces int) {
	w.t.Helper()
	last := ""
	defer func() {
		if w.t.Failed() {
			w.t.Log(last)
		}
	}()
	w.eventually("the commit is accepted", func() bool {
		request, _ := http.NewRequest(http.MethodPut, "http://"+n.operator+"/manifest", strings.NewReader(text))
		request.Header.Set("Replaces", strconv.Itoa(replaces))
		request.Header.Set("Commit-Id", "commit-"+strconv.Itoa(replaces))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			last = err.Error()
			return false
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		last = response.Status + " " + string(body)
		return response.StatusCode == http.StatusOK
	})
	for _, n := range w.nodes {
		w.ready(n)
	}
}

func (w *world) ready(n *node) {
	w.t.Helper()
	w.eventually(n.id+" is ready", func() bool {
		response, err := http.Get("http://" + n.caller + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventually waits until the condition holds; it fails the test only after a time that no working system needs.
func (w *world) eventually(what string, condition func() bool) {
	w.t.Helper()
	for end := time.Now().Add(startBudget); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	w.t.Fatalf("not reached within %v: %s", startBudget, what)
}

// post sends a JSON body as the customer with the key.
func post(t *testing.T, address, path, key, body string, header ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Body.Close() })
	return response
}

// usable waits until n regards the given number of upstreams as up.
func (w *world) usable(n *node, count int) {
	w.t.Helper()
	last := ""
	defer func() {
		if w.t.Failed() {
			w.t.Log(last)
		}
	}()
	w.eventually(fmt.Sprintf("%d upstreams are up", count), func() bool {
		response, err := http.Get("http://" + n.operator + "/status")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		data, _ := io.ReadAll(response.Body)
		last = string(data)
		return strings.Count(last, `"state": "up"`) == count
	})
}
