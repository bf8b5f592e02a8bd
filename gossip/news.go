package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch/replica"
)

const (
	newsProcedure = "/poplarwinch.gossip/News"
	// newsTimeout bounds the reading of a table from a peer.
	newsTimeout = 2 * time.Second
	// newsLimit is the largest table that is taken from a peer, in bytes.
	newsLimit = 16 << 20
)

// newsRequest asks for the rows of a table.
type newsRequest struct {
	Table string `cbor:"table"`
	// After is the version that the asking instance has; zero if it has none.
	After replica.Version `cbor:"after"`
}

// newsReply has the changes of a table, or all its rows.
type newsReply struct {
	Rows     []replica.Row   `cbor:"rows"`
	Version  replica.Version `cbor:"version"`
	Complete bool            `cbor:"complete"`
}

// callClients holds the calls in progress, one for each table.
type callClients struct {
	mutex  sync.Mutex
	active map[string]bool
}

// start reports whether no call for the table is in progress, and counts one if so.
func (c *callClients) start(table string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.active == nil {
		c.active = map[string]bool{}
	}
	if c.active[table] {
		return false
	}
	c.active[table] = true
	return true
}

func (c *callClients) end(table string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.active, table)
}

// fetch reads a table from a peer in the background.
func (g *Gossip) fetch(from Member, table string) {
	if g.calls.start(table) {
		go g.runFetch(from, table)
	}
}

func (g *Gossip) runFetch(from Member, table string) {
	defer g.calls.end(table)
	ctx, cancel := context.WithTimeout(context.Background(), newsTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	client := connect.NewClient[newsRequest, newsReply](
		&http.Client{Transport: transport}, "http://"+from.Address.String()+newsProcedure,
		connect.WithCodec(g.codec), connect.WithReadMaxBytes(newsLimit),
	)
	entry := g.log.WithField("table", table).WithField("peer", string(from.ID))
	after, _ := g.replicas[table].Version()
	reply, err := client.CallUnary(ctx, connect.NewRequest(&newsRequest{Table: table, After: after}))
	if err != nil {
		entry.WithError(err).Warn("table not read from peer")
		return
	}
	entry.WithField("version", reply.Msg.Version).Info("table read from peer")
	g.replicas[table].Merge(replica.Batch{Rows: reply.Msg.Rows, Version: reply.Msg.Version, Complete: reply.Msg.Complete})
}

// Handler returns the handler of calls from peers.
func (g *Gossip) Handler() http.Handler {
	return connect.NewUnaryHandler(newsProcedure, g.handleNews, connect.WithCodec(g.codec))
}

func (g *Gossip) handleNews(_ context.Context, r *connect.Request[newsRequest]) (*connect.Response[newsReply], error) {
	table, ok := g.replicas[r.Msg.Table]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("no table %q", r.Msg.Table))
	}
	b := table.Since(r.Msg.After)
	return connect.NewResponse(&newsReply{Rows: b.Rows, Version: b.Version, Complete: b.Complete}), nil
}

// Serve answers calls from peers until the listener is closed.
func (g *Gossip) Serve(l net.Listener) error {
	s := &http.Server{Handler: g.Handler(), ReadHeaderTimeout: newsTimeout, IdleTimeout: newsTimeout}
	return s.Serve(l)
}
