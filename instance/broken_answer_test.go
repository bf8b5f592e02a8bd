package instance_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	emulatedengine "github.com/poplarwinch/poplarwinch/emulator/engine"
	"github.com/poplarwinch/poplarwinch/emulator/raw"
	emulatedservice "github.com/poplarwinch/poplarwinch/emulator/service"
)

// brokenUpstream answers calls and prompts with raw bytes, and everything else as the emulated upstream does.
type brokenUpstream struct {
	http.Handler
	answer atomic.Pointer[func(c *raw.Connection)]
}

// ServeHTTP answers a request.
func (u *brokenUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := u.answer.Load()
	isCall := strings.HasPrefix(r.URL.Path, "/bookings") || strings.HasPrefix(r.URL.Path, "/rooms") || strings.HasPrefix(r.URL.Path, "/v1/")
	if answer == nil || !isCall {
		u.Handler.ServeHTTP(w, r)
		return
	}
	raw.Handler(*answer).ServeHTTP(w, r)
}

// brokenCluster is a cluster whose only upstreams write raw bytes.
type brokenCluster struct {
	*cluster
	instance *testInstance
	upstream *brokenUpstream
	// calls is the number of requests that were sent.
	calls int
}

// newBrokenCluster starts a cluster with one upstream of the kind.
func newBrokenCluster(t *testing.T, kind string) *brokenCluster {
	t.Helper()
	c := newCluster(t, clusterOptions{})
	b := &brokenCluster{cluster: c, upstream: &brokenUpstream{}}
	if kind == "service" {
		b.upstream.Handler = emulatedservice.New()
		c.addUpstream("bookings-0", kind, "bookings", "domain-a", b.upstream)
	} else {
		e := emulatedengine.New(
			emulatedengine.WithPrefillRate(2_000_000), emulatedengine.WithStep(2),
			emulatedengine.WithModels(emulatedengine.Model{Name: "drafting", Version: "1"}),
		)
		c.engines = append(c.engines, e)
		b.upstream.Handler = e
		c.addUpstream("engine-0", kind, "drafting", "domain-a", b.upstream)
	}
	c.roster.SetEndpoints(c.endpoints)
	b.instance = c.startInstance("entry-1", "domain-a")
	c.commitManifest(b.instance, manifestText(), 0)
	c.awaitUpstreams(b.instance, 1)
	return b
}

// ownRoute is a kind of request at the own interface.
type ownRoute struct {
	name, kind, path, body string
	header                 []string
	// answer is the body of an upstream's answer, and lines are the header lines that the instance requires.
	answer string
	lines  func(c *raw.Connection) string
	// sizes are the sizes of request bodies or prompts: one that may fit into the buffers of a connection, and one near the limit.
	sizes []int
}

var callSizes, promptSizes = []int{300_000, 16_000_000}, []int{300_000, 1_400_000}

func noLines(*raw.Connection) string { return "" }

// streamID returns the id of the stream that a request begins or resumes.
func streamID(c *raw.Connection) string {
	if id, ok := strings.CutPrefix(c.Request.URL.Path, "/v1/streams/"); ok {
		return id
	}
	return c.Request.Header.Get("Request-Id")
}

func streamLines(c *raw.Connection) string {
	return "Content-Type: text/event-stream\r\nStream-Id: " + streamID(c) + "\r\n"
}

var ownRoutes = []ownRoute{
	{name: "repeatable call", kind: "service", path: "/services/bookings/rooms", answer: "answer", lines: noLines, sizes: callSizes},
	{name: "call with a key", kind: "service", path: "/services/bookings/bookings", header: []string{"Idempotency-Key", "KEY"}, answer: "answer", lines: noLines, sizes: callSizes},
	{name: "prompt", kind: "engine", path: "/v1/completions", body: `{"model":"drafting","prompt":"PROMPT","max_tokens":5}`, lines: streamLines, sizes: promptSizes},
	{name: "stream", kind: "engine", path: "/v1/completions", body: `{"model":"drafting","prompt":"PROMPT","max_tokens":5,"stream":true}`, lines: streamLines, sizes: promptSizes},
}

// events returns the body of an engine's answer: one event, with the last one if it is whole.
func events(c *raw.Connection, whole bool) string {
	id := streamID(c)
	text := "id: " + id + "/1\ndata: {\"choices\":[{\"index\":0,\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n"
	if whole {
		text += "id: " + id + "/2\ndata: [DONE]\n\n"
	}
	return text
}

// content returns the body of a whole answer of the route's upstream.
func (r *ownRoute) content(c *raw.Connection, whole bool) string {
	if r.kind == "engine" {
		return events(c, whole)
	}
	return r.answer
}

// call sends a request of the route with a prompt or body of the given size.
func (b *brokenCluster) call(t *testing.T, r *ownRoute, size int) raw.Result {
	t.Helper()
	b.calls++
	text := fmt.Sprintf("%s %d", strings.Repeat("x", size), b.calls)
	body := text
	if r.body != "" {
		body = strings.Replace(r.body, "PROMPT", text, 1)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+b.instance.caller+r.path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Request-Timeout-Ms", "15000")
	for i := 0; i+1 < len(r.header); i += 2 {
		request.Header.Set(r.header[i], strings.Replace(r.header[i+1], "KEY", fmt.Sprint("call-", b.calls), 1))
	}
	return raw.Call(request)
}

// isAnswer reports whether the caller takes the result for a complete answer: a stream that has begun ends with [DONE].
func (r *ownRoute) isAnswer(got raw.Result) bool {
	complete := r.name != "stream" || strings.HasSuffix(strings.TrimSpace(got.Body), "[DONE]")
	return got.Ended && got.Status < http.StatusInternalServerError && complete
}

// answersAtOnce is the number of answers that one cluster is tested with, one after the other.
const answersAtOnce = 12

// forEachAnswer calls test with each route and answer, and a cluster whose upstream gives this answer: respond writes it.
func forEachAnswer(t *testing.T, answers []raw.Answer, respond func(c *raw.Connection, r *ownRoute, a *raw.Answer), test func(t *testing.T, b *brokenCluster, r *ownRoute, a *raw.Answer)) {
	for _, route := range ownRoutes {
		for part := range slices.Chunk(answers, answersAtOnce) {
			t.Run(route.name+", from "+part[0].Name, func(t *testing.T) {
				t.Parallel()
				b := newBrokenCluster(t, route.kind)
				for _, a := range part {
					answer := func(c *raw.Connection) { respond(c, &route, &a) }
					b.upstream.answer.Store(&answer)
					test(t, b, &route, &a)
				}
			})
		}
	}
}

// respondWhole writes an answer with a whole body once the request was read.
func respondWhole(c *raw.Connection, r *ownRoute, a *raw.Answer) {
	c.ReadBody()
	c.WriteText(a.Text(r.lines(c), r.content(c, true)))
}

// TestMalformedHeadsReachNoCallerOfTheOwnInterface guards against answers whose head HTTP/1.1 forbids and that callers get as answers, or
// that can't be found in the log.
func TestMalformedHeadsReachNoCallerOfTheOwnInterface(t *testing.T) {
	forEachAnswer(t, raw.Malformed(), respondWhole, func(t *testing.T, b *brokenCluster, r *ownRoute, a *raw.Answer) {
		if got := b.call(t, r, 10); r.isAnswer(got) {
			t.Errorf("%s: got %d %q as an answer", a.Name, got.Status, got.Body)
		}
		if log := b.log.String(); !strings.Contains(log, "malformed response from ") {
			t.Errorf("%s: the log doesn't say what was malformed", a.Name)
		}
	})
}

// TestUnusualHeadsReachCallersOfTheOwnInterface guards against whole answers that are lost because their head is unusual. Calls of services
// need a length or chunks.
func TestUnusualHeadsReachCallersOfTheOwnInterface(t *testing.T) {
	forEachAnswer(t, raw.Sound(), respondWhole, func(t *testing.T, b *brokenCluster, r *ownRoute, a *raw.Answer) {
		if r.kind == "service" && a.EndsWithConnection() {
			return
		}
		if got := b.call(t, r, 10); !r.isAnswer(got) || got.Status != http.StatusOK {
			t.Errorf("%s: got %d %q, ended: %v", a.Name, got.Status, got.Body, got.Ended)
		}
	})
}

// TestAnswersThatAreResetReachNoCallerOfTheOwnInterface guards against parts of answers that callers get as complete ones: an upstream
// answers before it has read the request, breaks off and resets the connection.
func TestAnswersThatAreResetReachNoCallerOfTheOwnInterface(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 400 * time.Millisecond} {
		respond := func(c *raw.Connection, r *ownRoute, a *raw.Answer) {
			c.WriteText(a.Text(r.lines(c), r.content(c, false)))
			time.Sleep(delay)
			c.Reset()
		}
		forEachAnswer(t, raw.Parts(), respond, func(t *testing.T, b *brokenCluster, r *ownRoute, a *raw.Answer) {
			for _, size := range r.sizes {
				if got := b.call(t, r, size); r.isAnswer(got) {
					t.Errorf("%s, %d bytes, %s: got %d %q as an answer", a.Name, size, delay, got.Status, got.Body)
				}
			}
		})
	}
}

// TestEarlyAnswersReachCallersOfTheOwnInterface guards against whole answers that are lost because the upstream sent them before it had read
// the request, and reset the connection then. Calls of services need a length or chunks.
func TestEarlyAnswersReachCallersOfTheOwnInterface(t *testing.T) {
	respond := func(c *raw.Connection, r *ownRoute, a *raw.Answer) {
		c.WriteText(a.Text(r.lines(c), r.content(c, true)))
		c.Reset()
	}
	forEachAnswer(t, raw.Whole()[:2], respond, func(t *testing.T, b *brokenCluster, r *ownRoute, a *raw.Answer) {
		for _, size := range r.sizes {
			if got := b.call(t, r, size); !r.isAnswer(got) || got.Status != http.StatusOK {
				t.Errorf("%s, %d bytes: got %d %q, ended: %v", a.Name, size, got.Status, got.Body, got.Ended)
			}
		}
	})
}
