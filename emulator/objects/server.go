// Package objects emulates the platform's object store: S3 GetObject, PutObject with If-None-Match and DeleteObject,
// with faults that can be changed at run time.
package objects

import (
	"crypto/md5"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	"github.com/poplarwinch/poplarwinch/emulator/history"
)

// Server is an http.Handler that holds objects in memory. PUT /faults sets faults, GET /record returns counts.
type Server struct {
	clock   *clock.Clock
	seed    uint64
	gate    *fault.Gate
	objects *history.Store[[]byte]
}

// New returns a server without objects.
func New(opts ...Option) *Server {
	s := &Server{clock: clock.System(), seed: 1}
	for _, o := range opts {
		o(s)
	}
	s.objects = history.New[[]byte](s.clock)
	s.gate = fault.NewGate(
		fault.WithClock(s.clock), fault.WithSeed(s.seed), fault.WithRestore(s.objects.Restore),
		fault.WithRateLimitResponse(failure(http.StatusServiceUnavailable, "SlowDown")),
	)
	return s
}

// Close ends all waiting requests without a reply.
func (s *Server) Close() { s.gate.Close() }

// SetFaults replaces the faults, like PUT /faults.
func (s *Server) SetFaults(f fault.Faults) { s.gate.Set(f) }

// Record returns the counts of reads and writes, like GET /record.
func (s *Server) Record() fault.Record { return s.gate.Record() }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate.ServeControl(w, r) {
		return
	}
	class := fault.Writes
	if r.Method == http.MethodGet {
		class = fault.Reads
	}
	s.gate.Serve(w, r, func([]byte) fault.Class { return class }, func(body []byte) fault.Response {
		return s.answer(r, body)
	})
}

func (s *Server) answer(r *http.Request, body []byte) fault.Response {
	// Keys have the form /BUCKET/KEY.
	key := r.URL.Path
	if bucket, rest, _ := strings.Cut(strings.TrimPrefix(key, "/"), "/"); bucket == "" || rest == "" {
		return failure(http.StatusNotImplemented, "NotImplemented")
	}
	response := fault.Response{Status: http.StatusOK}
	s.objects.Do(func(v *history.View[[]byte]) {
		switch r.Method {
		case http.MethodGet:
			// The protocol has no choice of consistency, so stale reads concern all reads.
			data, ok := v.At(key, s.clock.Now()-s.gate.Stale())
			if !ok {
				response = failure(http.StatusNotFound, "NoSuchKey")
				return
			}
			response.Body, response.Header = data, map[string]string{"Etag": etag(data)}
		case http.MethodPut:
			response = put(v, r.Header.Get("If-None-Match"), key, body)
		case http.MethodDelete:
			v.Delete(key)
			response.Status = http.StatusNoContent
		default:
			response = failure(http.StatusNotImplemented, "NotImplemented")
		}
	})
	return response
}

func put(v *history.View[[]byte], unless, key string, body []byte) fault.Response {
	switch unless {
	case "":
	case "*":
		if _, exists := v.Get(key); exists {
			return failure(http.StatusPreconditionFailed, "PreconditionFailed")
		}
	default:
		return failure(http.StatusNotImplemented, "NotImplemented")
	}
	v.Put(key, body)
	return fault.Response{Status: http.StatusOK, Header: map[string]string{"Etag": etag(body)}}
}

func etag(data []byte) string {
	sum := md5.Sum(data)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

func failure(status int, code string) fault.Response {
	return fault.Response{
		Status: status, Header: map[string]string{"Content-Type": "application/xml"},
		Body: []byte("<Error><Code>" + code + "</Code><Message>" + code + "</Message></Error>"),
	}
}
