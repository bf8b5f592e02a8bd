package route_test

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/route"
)

func example() *route.Table {
	return (&route.Table{
		Version: 7,
		Routes: []route.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Targets: []route.Target{{Service: "pool", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Targets: []route.Target{{Service: "pool", Weight: 1}}},
			{Name: "x", Host: "A.example", Prefix: "/x/", Targets: []route.Target{{Service: "pool", Weight: 90}, {Service: "other", Weight: 10}}},
		},
		Customers: []route.Customer{{ID: "c", Keys: []string{"k1", "k2"}}},
	}).Compile()
}

// Guards against requests routed to the service of a shorter prefix or of another host.
func TestFind(t *testing.T) {
	for _, c := range []struct{ host, path, name string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/z", "x"},
		{"A.EXAMPLE", "/x/", "x"},
		{"a.example", "/xy", "all"},
		{"b.example", "/x/", ""},
	} {
		found, ok := example().Find(c.host, c.path)
		if ok != (c.name != "") || ok && found.Name != c.name {
			t.Errorf("%s%s: got %v, want route %q", c.host, c.path, found, c.name)
		}
	}
}

// Guards against weights that send all requests to one service.
func TestWeights(t *testing.T) {
	found, _ := example().Find("a.example", "/x/")
	counts := map[poplarwinch.ServiceName]int{}
	for n := range uint64(1000) {
		counts[found.Service(n)]++
	}
	if counts["pool"] != 900 || counts["other"] != 100 {
		t.Errorf("got %v, want 900 and 100", counts)
	}
}

// Guards against access with unknown or empty API keys.
func TestAuthenticate(t *testing.T) {
	table := example()
	for key, want := range map[string]bool{"k1": true, "k2": true, "": false, "k3": false} {
		if _, ok := table.Authenticate(key); ok != want {
			t.Errorf("key %q: got %t", key, ok)
		}
	}
}

// Guards against retries of requests that may be executed only once.
func TestMayRepeat(t *testing.T) {
	for _, c := range []struct {
		route route.Route
		want  bool
	}{
		{route.Route{Kind: route.KindIdempotent}, true},
		{route.Route{Kind: route.KindNonIdempotent}, false},
		{route.Route{Kind: route.KindStreaming}, false},
		{route.Route{Kind: route.KindStreaming, Resumable: true}, true},
		{route.Route{Kind: route.KindNonIdempotent, Resumable: true}, false},
	} {
		if got := c.route.MayRepeat(); got != c.want {
			t.Errorf("%+v: got %t", c.route, got)
		}
	}
}

func ExamplePool_Prefill() {
	pool := route.Pool{PrefillRate: 154, PairMillis: 0.162}
	for _, tokens := range []poplarwinch.Tokens{5000, 45_000, 182_000} {
		fmt.Printf("%d tokens: %.0f ms\n", tokens, pool.Prefill(tokens))
	}
	// Output:
	// 5000 tokens: 34 ms
	// 45000 tokens: 456 ms
	// 182000 tokens: 3865 ms
}
