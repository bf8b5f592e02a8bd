//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// splitRoute is a route that a new version splits off that of /read/.
	splitRoute = `,
{"name":"r-tags","host":"a.example","prefix":"/read/tags/","kind":"idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"tags","max_attempts":2,"allow_anonymous":false}`
	// encoded is a path on the route of /read/, with one further segment that has an encoded slash, and separate one on the new route.
	encoded, separate = "/read/tags%2F", "/read/tags/"
)

// route: a new version of the configuration splits a route, and the paths of some requests have an encoded slash.
func route(w *world, trouble bool) (result, error) {
	var mutex sync.Mutex
	allowed, foreign := 0, 0
	servers := (&tally{}).plain(2, time.Second, "", false)
	for n := range 2 {
		servers = append(servers, &server{service: "tags", zone: zones[n]})
	}
	for _, s := range servers {
		s.arrived = func(s *server, r *http.Request) {
			mutex.Lock()
			defer mutex.Unlock()
			w.record.add("%s %s reaches a server of %s", r.Method, r.RequestURI, s.service)
			switch {
			case s.service == "tags" && !strings.HasPrefix(r.RequestURI, separate):
				foreign++
			case strings.HasPrefix(r.RequestURI, encoded):
				allowed++
			}
		}
	}
	if err := w.deploy(3, []string{"m"}, append(servers, (&tally{}).engines(3, false)...)...); err != nil {
		return result{}, err
	}
	get := func(path string) request {
		return request{method: http.MethodGet, path: path, budget: "4000", timeout: 4 * time.Second}
	}
	paths := []string{"/read/", encoded, separate}
	var all sync.WaitGroup
	all.Go(func() {
		w.load(soundName, 100*time.Millisecond, 12*time.Second, func(n int, id string) request { return get(paths[n%len(paths)] + id) })
	})
	time.Sleep(calm)
	if trouble {
		w.record.add("the configuration changes: version 2 adds the route %s for the service tags", separate)
		w.store.put("op", "config", strings.Replace(configuration(2, "m"), `}],
"services":[`, `}`+splitRoute+`],
"services":[{"name":"tags","health_path":"/health","max_connections":48,"protocol":"h1","tls":false},`, 1))
	}
	all.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	return result{broken: foreign > 0, verdict: fmt.Sprintf(
		"%d requests for paths that begin with %s, for which every version names the service plain, were run by it, and %d by the service tags", allowed, encoded, foreign,
	)}, nil
}
