package fleet

import "github.com/poplarwinch/poplarwinch"

// maxExactServers is the number of servers of a service up to which all of them are candidates, also those whose whole load is
// not known.
const maxExactServers = 64

// Cell is one of the equal parts into which a large failure domain is divided. The instances of a cell send each other every
// change of the load that they put on servers, and place most requests on the cell's own servers, so that what an instance has
// to know does not grow with the deployment. The zero Cell is the whole failure domain.
type Cell struct {
	// Index is the number of the cell, from 0 to Count - 1.
	Index int
	// Count is the number of cells of the failure domain.
	Count int
}

// Contains reports whether the cell contains the item at position in an ordered list of total items.
func (c Cell) Contains(position, total int) bool {
	return c.Count <= 1 || position*c.Count/total == c.Index
}

// Place is the position of a server among those of its service and failure domain, in an order that all instances agree on. It
// determines the server's cell.
type Place struct {
	Domain   poplarwinch.FailureDomain
	Position int
	// Total is the number of servers in that order.
	Total int
}

// SetCell sets the part of the failure domain whose instances report all of their load to this one; the default is all of it.
func (f *Fleet) SetCell(c Cell) {
	f.mutex.Lock()
	changed := c != f.cell
	if changed {
		f.cell = c
		f.resolve()
	}
	f.mutex.Unlock()
	if changed {
		f.wakeWaiters()
	}
}

// isNear reports whether the server is in the cell of this instance. The caller holds the lock.
func (f *Fleet) isNear(m *serverState) bool {
	return m.place.Domain == f.domain && f.cell.Contains(m.place.Position, m.place.Total)
}

// resolve determines again which servers are near and which are covered by summaries. The caller holds the lock.
func (f *Fleet) resolve() {
	f.near = map[poplarwinch.ServiceName][]*serverState{}
	for service, list := range f.usable {
		for _, m := range list {
			if f.isNear(m) {
				f.near[service] = append(f.near[service], m)
			}
		}
	}
	for _, s := range f.summaries {
		f.resolveSummary(s)
	}
}
