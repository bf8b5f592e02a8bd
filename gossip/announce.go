package gossip

import (
	"net"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/replica"
)

const (
	// announceInterval is the least time between two announcements of tables. Changes in between are announced together.
	announceInterval clock.Millis = 100
	// maxChangeBytes is the largest size of the rows in an announcement. Peers fetch larger changes.
	maxChangeBytes = 8 << 10
)

// tableChanges has the rows of a table that changed between two positions of an era.
type tableChanges struct {
	_     struct{} `cbor:",toarray"`
	Table string
	After replica.Position
	To    replica.Position
	Rows  []replica.Row
}

// AnnounceTables schedules datagrams with the changes of tables that this instance has read from their source: to the peers of the
// cell and to instances elsewhere that follow the tables. In a small deployment all peers are told.
func (g *Gossip) AnnounceTables() {
	g.mutex.Lock()
	earlier := g.due.tables == 0
	if earlier {
		g.due.tables = max(g.clock.Now()+localDelay, g.announcedAt+announceInterval)
	}
	g.mutex.Unlock()
	if earlier {
		g.wakeUp()
	}
}

// sendTables announces the tables.
func (g *Gossip) sendTables(connection *net.UDPConn) {
	changes := g.changes()
	m := g.message()
	m.Changes = changes
	g.send(connection, m, func(p *peerState) bool { return g.isNear(p) || p.follows || g.isSmall() })
}

// changes returns the changes of tables since they were announced last. Tables with too many changes are left out.
func (g *Gossip) changes() []tableChanges {
	var list []tableChanges
	for name, r := range g.replicas {
		position, loaded := r.ContentPosition()
		if !loaded {
			continue
		}
		known, _ := r.Position()
		g.mutex.Lock()
		after := g.announced[name]
		continued := after.Version != 0 && after.Era == position.Era
		if g.announced[name] = position; !continued {
			// What was removed before the table was loaded, or the source restored, is not known.
			g.announced[name] = known
		}
		g.mutex.Unlock()
		if !continued || after.Compare(position) >= 0 {
			continue
		}
		from := after
		from.Unsettled = false // peers find out by the positions what became of rows that were missing
		batch := r.Since(from)
		if batch.Complete || rowBytes(batch.Rows) > maxChangeBytes {
			continue
		}
		list = append(list, tableChanges{Table: name, After: after, To: batch.Position(), Rows: batch.Rows})
	}
	return list
}

// rowBytes returns the size of the rows without their encoding.
func rowBytes(rows []replica.Row) int {
	n := 0
	for i := range rows {
		n += len(rows[i].Key) + len(rows[i].Value)
	}
	return n
}

// mergeChanges merges changes that continue what this instance has. Others are fetched, like all changes of which only the version
// is known.
func (g *Gossip) mergeChanges(list []tableChanges) {
	for i := range list {
		c := &list[i]
		r := g.replicas[c.Table]
		if r == nil {
			continue
		}
		if known, loaded := r.Position(); loaded && known.Era == c.After.Era && known.Compare(c.After) >= 0 {
			r.Merge(replica.NewBatch(c.To, c.Rows, false))
		}
	}
}
