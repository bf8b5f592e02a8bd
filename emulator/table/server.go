// Package table emulates the platform's table service: the part of the DynamoDB JSON protocol that the client uses.
// Faults can be changed at run time.
package table

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	"github.com/poplarwinch/poplarwinch/emulator/history"
)

// targetPrefix precedes the operation in the header X-Amz-Target.
const targetPrefix = "DynamoDB_20120810."

// Server is an http.Handler that serves one table from memory. PUT /faults sets faults, GET /record returns request
// counts.
type Server struct {
	clock         *clock.Clock
	seed          uint64
	gate          *fault.Gate
	items         *history.Store[item]
	requestTokens *requestTokens
}

// New returns a server with an empty table.
func New(opts ...Option) *Server {
	s := &Server{clock: clock.System(), seed: 1}
	for _, o := range opts {
		o(s)
	}
	s.items = history.New[item](s.clock)
	s.requestTokens = newRequestTokens(s.clock)
	s.gate = fault.NewGate(
		fault.WithClock(s.clock), fault.WithSeed(s.seed), fault.WithRestore(s.items.Restore),
		fault.WithRateLimitResponse(newAPIError("ProvisionedThroughputExceededException", "rate limit exceeded").response()),
	)
	return s
}

// Close aborts all delayed and unanswered requests.
func (s *Server) Close() { s.gate.Close() }

// SetFaults replaces the faults, as PUT /faults does.
func (s *Server) SetFaults(f fault.Faults) { s.gate.Set(f) }

// Record returns the counts of reads and writes, as GET /record does.
func (s *Server) Record() fault.Record { return s.gate.Record() }

// ServeHTTP serves the table protocol, PUT /faults and GET /record.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.gate.ServeControl(w, r) {
		return
	}
	operation := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	class := fault.Writes
	if operation == "GetItem" {
		class = fault.Reads
	}
	s.gate.Serve(w, r, func([]byte) fault.Class { return class }, func(body []byte) fault.Response {
		return s.execute(operation, body)
	})
}

func (s *Server) execute(operation string, body []byte) fault.Response {
	var reply any
	var err *apiError
	switch operation {
	case "GetItem":
		reply, err = handle(body, s.getItem)
	case "PutItem":
		reply, err = handle(body, s.putItem)
	case "DeleteItem":
		reply, err = handle(body, s.deleteItem)
	case "TransactWriteItems":
		reply, err = handle(body, s.transactWriteItems)
	default:
		err = newAPIError("UnknownOperationException", "operation is not supported: "+operation)
	}
	if err != nil {
		return err.response()
	}
	return jsonResponse(http.StatusOK, reply)
}

func handle[I any](body []byte, f func(I) (any, *apiError)) (any, *apiError) {
	var input I
	if err := json.Unmarshal(body, &input); err != nil {
		return nil, newAPIError("SerializationException", err.Error())
	}
	return f(input)
}
