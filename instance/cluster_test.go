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
	// testKey is the API key of the first customer.
	testKey = "test-key-one"
	// otherKey is the API key of the second customer, which may not use the service.
	otherKey = "test-key-two"
	// testSecret is the secret that the instances share.
	testSecret = "a-peer-secret-for-tests"
	// conditionTimeout bounds the wait for a condition. No working cluster needs that long, even on a busy machine.
	conditionTimeout = 15 * time.Second
)

// cluster is a small deployment in one process: emulated platform services, engines and services, and entry instances.
type cluster struct {
	t         testing.TB
	table     *emulatedtable.Server
	objects   *emulatedobjects.Server
	roster    *emulatedroster.Server
	engines   []*emulatedengine.Engine
	services  []*emulatedservice.Service
	urls      map[string]string
	servers   map[string]*httptest.Server
	endpoints []emulatedroster.Endpoint
	instances []*testInstance
	options   []instance.Option
	log       *syncBuffer
}

// testInstance is a running entry instance with the addresses of its servers.
type testInstance struct {
	id       string
	caller   string
	peer     string
	operator string
	stop     context.CancelFunc
	done     chan error
}

// syncBuffer is a buffer that is safe for concurrent use.
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

// clusterOptions sets the number of engines and services, the options of engines and instances, and the failure domains
// over which the upstreams are distributed in turn.
type clusterOptions struct {
	engines, services int
	engine            []emulatedengine.Option
	domains           []string
	instance          []instance.Option
}

// newCluster starts the platform services and the upstreams of a cluster, and stops everything at the end of the test.
func newCluster(t testing.TB, spec clusterOptions) *cluster {
	t.Helper()
	c := &cluster{t: t, urls: map[string]string{}, servers: map[string]*httptest.Server{}, log: &syncBuffer{}, options: spec.instance}
	if len(spec.domains) == 0 {
		spec.domains = []string{"domain-a"}
	}
	c.table, c.objects, c.roster = emulatedtable.New(), emulatedobjects.New(), emulatedroster.New()
	c.startServer("table", c.table)
	c.startServer("objects", c.objects)
	c.startServer("roster", c.roster)
	for i := range spec.engines {
		options := append([]emulatedengine.Option{
			emulatedengine.WithPrefillRate(2_000_000), emulatedengine.WithStep(2), emulatedengine.WithWaitingInterval(50),
			emulatedengine.WithModels(emulatedengine.Model{Name: "drafting", Version: "1", Adapters: []emulatedengine.Adapter{{Name: "notes", Version: "1"}}}),
		}, spec.engine...)
		var server *httptest.Server
		// A crashed process refuses connections.
		options = append(options, emulatedengine.WithOnCrash(func() { _ = server.Listener.Close() }))
		e := emulatedengine.New(options...)
		c.engines = append(c.engines, e)
		server = c.addUpstream(fmt.Sprintf("engine-%d", i), "engine", "drafting", spec.domains[i%len(spec.domains)], e)
	}
	for i := range spec.services {
		s := emulatedservice.New()
		c.services = append(c.services, s)
		c.addUpstream(fmt.Sprintf("bookings-%d", i), "service", "bookings", spec.domains[i%len(spec.domains)], s)
	}
	c.roster.SetEndpoints(c.endpoints)
	t.Cleanup(c.close)
	return c
}

// startServer starts an HTTP server under a name.
func (c *cluster) startServer(name string, h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	if tracker, ok := h.(interface {
		ConnState(n net.Conn, s http.ConnState)
	}); ok {
		server.Config.ConnState = tracker.ConnState
	}
	server.Start()
	c.urls[name], c.servers[name] = server.URL, server
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// addUpstream starts a server and adds it to the endpoints of the instance list.
func (c *cluster) addUpstream(id, kind, pool, domain string, h http.Handler) *httptest.Server {
	server := c.startServer(id, h)
	host, port, _ := net.SplitHostPort(server.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	c.endpoints = append(c.endpoints, emulatedroster.Endpoint{
		ID: id, Kind: kind, Name: pool, IP: host, Ports: map[string]int{"http": number}, FailureDomain: domain,
	})
	return server
}

func (c *cluster) close() {
	for _, n := range c.instances {
		n.stop()
	}
	for _, n := range c.instances {
		<-n.done
	}
	for _, e := range c.engines {
		e.Close()
	}
	if c.t.Failed() {
		c.t.Logf("log:\n%s", c.log.String())
	}
}

// lastPort is the last port that freeAddress returned. The range lies below the ephemeral ports, which the system could
// assign to a connection or another listener between the choice of an address and its use.
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

// startInstance starts an entry instance in the failure domain, with the given instances as seeds.
func (c *cluster) startInstance(id, domain string, seeds ...*testInstance) *testInstance {
	c.t.Helper()
	n := &testInstance{
		id: id, caller: freeAddress(c.t), peer: freeAddress(c.t), operator: freeAddress(c.t), done: make(chan error, 1),
	}
	seedLine := ""
	for i, s := range seeds {
		seedLine += map[bool]string{true: "seeds = ", false: ", "}[i == 0] + s.peer
	}
	directory := c.t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			c.t.Fatal(err)
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
`, id, domain, n.caller, n.peer, n.operator, c.urls["table"], c.urls["objects"], c.urls["roster"], seedLine))
	s, err := settings.Load(path)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	i, err := instance.New(s, append([]instance.Option{
		instance.WithLog(&log.Logger{Handler: logjson.New(c.log), Level: log.InfoLevel}),
	}, c.options...)...)
	if err != nil {
		c.t.Fatal(err)
	}
	go func() { n.done <- i.Run(ctx) }()
	c.instances = append(c.instances, n)
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

// crashedEngines returns the number of crashes of engines by prompts.
func (c *cluster) crashedEngines() int {
	crashed := 0
	for _, e := range c.engines {
		for _, r := range e.Record().Runs {
			if r.Crashed {
				crashed++
			}
		}
	}
	return crashed
}

// commitManifest commits the manifest through the operator server of n and waits until all instances are ready.
func (c *cluster) commitManifest(n *testInstance, text string, replaces int) {
	c.t.Helper()
	last := ""
	defer func() {
		if c.t.Failed() {
			c.t.Log(last)
		}
	}()
	c.eventually("the commit is accepted", func() bool {
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
	for _, n := range c.instances {
		c.awaitReady(n)
	}
}

// awaitReady waits until n reports ready to callers.
func (c *cluster) awaitReady(n *testInstance) {
	c.t.Helper()
	c.eventually(n.id+" is ready", func() bool {
		response, err := http.Get("http://" + n.caller + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventually waits until the condition holds, and fails the test after conditionTimeout.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(conditionTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("not reached within %v: %s", conditionTimeout, what)
}

// post sends a JSON body with a customer's API key. The further arguments are names and values of headers.
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

// awaitUpstreams waits until n reports exactly count upstreams as up.
func (c *cluster) awaitUpstreams(n *testInstance, count int) {
	c.t.Helper()
	last := ""
	defer func() {
		if c.t.Failed() {
			c.t.Log(last)
		}
	}()
	c.eventually(fmt.Sprintf("%d upstreams are up", count), func() bool {
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
