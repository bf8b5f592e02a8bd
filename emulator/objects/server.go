// Package objects emulates the platform's object store: S3 GetObject, PutObject with If-None-Match and DeleteObject.
// Faults can be changed at run time.
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

// Server is an http.Handler that serves objects from memory. PUT /faults sets faults, GET /record returns request
// counts.
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
		fault.WithRateLimitResponse(errorResponse(http.StatusServiceUnavailable, "SlowDown")),
	)
	return s
}

// Close aborts all delayed and unanswered requests.
func (s *Server) Close() { s.gate.Close() }

// SetFaults replaces the faults, as PUT /faults does.
func (s *Server) SetFaults(f fault.Faults) { s.gate.Set(f) }

// Record returns the counts of reads and writes, as GET /record does.
func (s *Server) Record() fault.Record { return s.gate.Record() }

// ServeHTTP serves the object protocol, PUT /faults and GET /record.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate.ServeControl(w, r) {
		return
	}
	class := fault.Writes
	if r.Method == http.MethodGet {
		class = fault.Reads
	}
	s.gate.Serve(w, r, func([]byte) fault.Class { return class }, func(body []byte) fault.Response {
		return s.execute(r, body)
	})
}

func (s *Server) execute(r *http.Request, body []byte) fault.Response {
	// The path is /BUCKET/OBJECT.
	key := r.URL.Path
	if bucket, object, _ := strings.Cut(strings.TrimPrefix(key, "/"), "/"); bucket == "" || object == "" {
		return errorResponse(http.StatusNotImplemented, "NotImplemented")
	}
	response := fault.Response{Status: http.StatusOK}
	s.objects.Do(func(v *history.View[[]byte]) {
		switch r.Method {
		case http.MethodGet:
			// The protocol does not let clients request consistency, so all reads may be stale.
			data, ok := v.At(key, s.clock.Now()-s.gate.Stale())
			if !ok {
				response = errorResponse(http.StatusNotFound, "NoSuchKey")
				return
			}
			response.Body, response.Header = data, map[string]string{"Etag": etag(data)}
		case http.MethodPut:
			response = put(v, r.Header.Get("If-None-Match"), key, body)
		case http.MethodDelete:
			v.Delete(key)
			response.Status = http.StatusNoContent
		default:
			response = errorResponse(http.StatusNotImplemented, "NotImplemented")
		}
	})
	return response
}

func put(v *history.View[[]byte], ifNoneMatch, key string, body []byte) fault.Response {
	switch ifNoneMatch {
	case "":
	case "*":
		if _, exists := v.Get(key); exists {
			return errorResponse(http.StatusPreconditionFailed, "PreconditionFailed")
		}
	default:
		return errorResponse(http.StatusNotImplemented, "NotImplemented")
	}
	v.Put(key, body)
	return fault.Response{Status: http.StatusOK, Header: map[string]string{"Etag": etag(body)}}
}

func etag(data []byte) string {
	sum := md5.Sum(data)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

func errorResponse(status int, code string) fault.Response {
	return fault.Response{
		Status: status, Header: map[string]string{"Content-Type": "application/xml"},
		Body: []byte("<Error><Code>" + code + "</Code><Message>" + code + "</Message></Error>"),
	}
}
