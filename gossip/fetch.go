package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch/internal/response"
	"github.com/poplarwinch/poplarwinch/replica"
)

const (
	// fetchProcedure is the path of the call that reads a table from a peer.
	fetchProcedure = "/poplarwinch.gossip/News"
	// fetchTimeout bounds a call, and on the server side reading headers and idle connections.
	fetchTimeout = 2 * time.Second
	// maxResponseHeaderBytes bounds the status line and the headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// maxFetchCalls is the number of calls that an instance serves at a time. After a restart of many instances all of them need whole
	// tables; those that are rejected read the platform's copy.
	maxFetchCalls = 4
	// maxTableBytes is the maximum size of a response.
	maxTableBytes = 16 << 20
)

// fetchRequest requests the changes of a table.
type fetchRequest struct {
	Table string `cbor:"table"`
	// After is the position of the requesting instance's replica; zero if the table was not loaded yet.
	After replica.Position `cbor:"after"`
}

// fetchResponse has the changes of a table since the requested position, or all its rows if Complete.
type fetchResponse struct {
	Rows     []replica.Row    `cbor:"rows"`
	Position replica.Position `cbor:"position"`
	Complete bool             `cbor:"complete"`
	Recent   bool             `cbor:"recent,omitempty"`
}

// fetchTracker limits fetches to one at a time for each table.
type fetchTracker struct {
	mutex      sync.Mutex
	inProgress map[string]bool
}

// start records a fetch of the table. It returns false if one is already in progress.
func (t *fetchTracker) start(table string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.inProgress == nil {
		t.inProgress = map[string]bool{}
	}
	if t.inProgress[table] {
		return false
	}
	t.inProgress[table] = true
	return true
}

func (t *fetchTracker) end(table string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.inProgress, table)
}

// fetch reads what changed in a table after a position from a peer in the background, unless a fetch of it is in progress.
func (g *Gossip) fetch(from Member, table string, after replica.Position) {
	if g.fetches.start(table) {
		go g.runFetch(from, table, after)
	}
}

func (g *Gossip) runFetch(from Member, table string, after replica.Position) {
	defer g.fetches.end(table)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	transport := response.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxResponseHeaderBytes})
	client := connect.NewClient[fetchRequest, fetchResponse](
		&http.Client{Transport: transport}, "http://"+from.Address.String()+fetchProcedure,
		connect.WithCodec(g.codec), connect.WithReadMaxBytes(maxTableBytes),
	)
	entry := g.log.WithField("table", table).WithField("peer", string(from.ID))
	reply, err := client.CallUnary(ctx, connect.NewRequest(&fetchRequest{Table: table, After: after}))
	if err != nil {
		entry.WithError(err).Warn("table not read from peer")
		if after.Version == 0 {
			g.bootstrapFailed.Store(true)
			g.updateFollowing()
		}
		return
	}
	position := reply.Msg.Position
	entry.WithField("era", position.Era).WithField("version", position.Version).Info("table read from peer")
	batch := replica.NewBatch(position, reply.Msg.Rows, reply.Msg.Complete)
	batch.Recent = reply.Msg.Recent
	g.replicas[table].Merge(batch)
}

// Handler returns the handler for calls from peers.
func (g *Gossip) Handler() http.Handler {
	return limitCalls(connect.NewUnaryHandler(fetchProcedure, g.handleFetch, connect.WithCodec(g.codec)))
}

// limitCalls rejects calls beyond maxFetchCalls at a time.
func limitCalls(next http.Handler) http.Handler {
	slots := make(chan struct{}, maxFetchCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func (g *Gossip) handleFetch(_ context.Context, request *connect.Request[fetchRequest]) (*connect.Response[fetchResponse], error) {
	table, ok := g.replicas[request.Msg.Table]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no table %q", request.Msg.Table))
	}
	batch := table.Since(request.Msg.After)
	return connect.NewResponse(&fetchResponse{Rows: batch.Rows, Position: batch.Position(), Complete: batch.Complete, Recent: batch.Recent}), nil
}

// Serve serves calls from peers until the listener is closed.
func (g *Gossip) Serve(listener net.Listener) error {
	server := &http.Server{Handler: g.Handler(), ReadHeaderTimeout: fetchTimeout, IdleTimeout: fetchTimeout}
	return server.Serve(listener)
}
