package gossip

import "github.com/poplarwinch/poplarwinch/clock"

// dueTimes are the times at which the kinds of datagrams are due next; zero means that none are due.
type dueTimes struct {
	// local is due to peers of the same cell.
	local clock.Millis
	// affected is due to distant peers that this instance's load in other cells affects.
	affected clock.Millis
	// remote is due to all distant peers.
	remote clock.Millis
	// followers is due from this instance, as a follower, to those of other cells.
	followers clock.Millis
	// summaries is due to followers of other cells and, forwarded, to peers of the same cell.
	summaries clock.Millis
	// tables is the time of the next announcement of tables.
	tables clock.Millis
	// suspects is the time of the next datagrams for suspects that had no place in others.
	suspects clock.Millis
}

// dueNow says which datagrams are to be sent now.
type dueNow struct {
	local, affected, remote, followers, summaries, tables, suspects bool
}

// wait returns the time until the first of them, at most limit.
func (d *dueTimes) wait(now, limit clock.Millis) clock.Millis {
	for _, due := range []clock.Millis{d.local, d.affected, d.remote, d.followers, d.summaries, d.tables, d.suspects} {
		if due != 0 {
			limit = min(limit, max(due-now, 0))
		}
	}
	return limit
}

// take returns what is due and sets the times of the next ones. remoteInterval is the time between two datagrams to all distant peers.
// An instance that does not send summaries sends nothing to followers.
func (d *dueTimes) take(now, remoteInterval clock.Millis, sendsSummaries bool) dueNow {
	passed := func(due clock.Millis) bool { return due != 0 && due <= now }
	n := dueNow{
		local: passed(d.local), affected: passed(d.affected), remote: passed(d.remote), tables: passed(d.tables), suspects: passed(d.suspects),
		followers: sendsSummaries && passed(d.followers), summaries: sendsSummaries && passed(d.summaries),
	}
	if n.local {
		d.local = now + heartbeatInterval
	}
	if n.affected || n.remote {
		d.affected = 0
	}
	if n.remote {
		d.remote = now + remoteInterval
	}
	if n.tables {
		d.tables = 0
	}
	if n.suspects {
		d.suspects = 0
	}
	if !sendsSummaries {
		d.followers, d.summaries = 0, 0
		return n
	}
	if n.followers || d.followers == 0 {
		d.followers = now + heartbeatInterval
	}
	if n.summaries || d.summaries == 0 {
		d.summaries = now + summaryInterval
	}
	return n
}
