package fleet

import (
	"math"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/route"
)

const (
	// slotWindow is the time for which a slot can be used. A waiting request looks again every 50 ms, and up to 120 ms after a change.
	slotWindow clock.Millis = 200
	// slotSurplus is the number of slots for each request at the target rate. Of slots at that rate, instances with requests lost up to
	// 7 in 100, because none of their requests waited just then.
	slotSurplus = 1.1
	// coldStartupDelay is the time after the start of an instance during which it sends cold servers nothing. Within a heartbeat it
	// hears the other instances of its cell; before, it would divide the rate among too few. The slots that its earlier process has lent
	// are returned by then.
	coldStartupDelay = heardTimeout + lendMargin
	// sentReportTime is the time for which reports repeat the number of requests to a cold server after the latest of them, since a
	// datagram may be lost. newsReportTime is the same for what the server said.
	sentReportTime clock.Millis = 200
	newsReportTime clock.Millis = 500
	// wantRetention is the time for which an instance counts as having requests for a cold server after a decision was held back.
	wantRetention = clock.Second
	// defaultColdOver and defaultColdSlack bound the requests to a cold server in a second if the settings don't.
	defaultColdOver  = 1.5
	defaultColdSlack = 5.0
)

const (
	// SourceRow means that the row of the server says that it is cold.
	SourceRow NoticeSource = "row"
	// SourceStart means that the process of the server is new.
	SourceStart NoticeSource = "start"
	// SourceReturn means that an evacuation of the server's failure domain has ended.
	SourceReturn NoticeSource = "evacuation-ended"
)

// ColdBound limits the requests to a cold server in any second to Over times the target rate, plus Slack.
type ColdBound struct {
	Over  float64
	Slack float64
}

// perSecond returns the largest number of requests in a second for a target rate.
func (b ColdBound) perSecond(rate RequestRate) float64 { return float64(rate)*b.Over + b.Slack }

// slotRate returns the rate of slots: a little more than the target rate, or less if the bound leaves no room for slots that are used late. In a second
// start the slots of that second and of the slotWindow before, and one more by rounding.
func (b ColdBound) slotRate(rate RequestRate) RequestRate {
	late := 1 + float64(slotWindow)/float64(clock.Second)
	return min(slotSurplus*rate, max(RequestRate((b.perSecond(rate)-1)/late), minRequestRate))
}

// spare returns the number of requests beyond the rate that all instances together may send at once as far as this instance knows. It
// is half of what the bound leaves; the other half is for the requests that are not known here yet.
func (b ColdBound) spare(rate RequestRate) float64 {
	return max((b.perSecond(rate)-float64(rate))/2-1, 0)
}

// ColdRow is what the row of a server says of its coldness.
type ColdRow struct {
	// Left is the time for which the server is still cold; zero if it is not.
	Left clock.Millis
	// ReadAt is the time at which this value of the row was read first.
	ReadAt clock.Millis
}

// Coldness is what an answer says of the coldness of its server. The zero Coldness says nothing.
type Coldness struct {
	Known bool
	// Left is the time for which the server is still cold; zero if it is not.
	Left clock.Millis
}

// ColdReport is what an instance reports to others of a cold server. The zero ColdReport says nothing.
type ColdReport struct {
	// Boot is the start of the server's process.
	Boot int64
	// Sent is the number of requests that the instance has sent to the process while it was cold.
	Sent int
	// Coldness is what the server said to the instance, and Age the time since then.
	Coldness
	Age clock.Millis
}

// cold is the coldness of one process. Slots, which all instances of the cell number in the same way, divide its rate; see slots.go.
type cold struct {
	statement
	// until is the end of the coldness. It is kept after that.
	until clock.Millis
	// startedAt is the time of the first slot.
	startedAt clock.Millis
	// used is the number of the latest slot that this instance has used, or -1.
	used int64
	// arrival is the theoretical arrival time of the generic cell rate algorithm for the requests of all instances, in ms.
	arrival float64
	// sent is the number of requests that this instance has sent while the server was cold.
	sent int
	// sentAt is the time of the latest of these; zero if there was none.
	sentAt clock.Millis
	// newsAt is the time at which an answer to this instance said something new.
	newsAt clock.Millis
	// announced says that the log has the beginning, but not the end.
	announced bool
}

// ColdChange is a server that has become cold or has ceased to be.
type ColdChange struct {
	Server Server
	// Cold says which of them.
	Cold bool
	// Left is the time for which the server is still cold.
	Left   clock.Millis
	Source NoticeSource
}

// isCold reports whether the server is cold and its service limits the requests to such servers.
func (m *serverState) isCold(now clock.Millis) bool {
	return m.notices.cold != nil && now < m.notices.cold.until && m.coldRate > 0
}

// coldness returns the coldness of the process, which is kept from the first call on.
func (n *notices) coldness() *cold {
	if n.cold == nil {
		n.cold = &cold{used: -1}
	}
	return n.cold
}

// setCold records that the server is cold until a time, by a statement made at a time. The caller holds the lock.
func (f *Fleet) setCold(m *serverState, at, until clock.Millis, source NoticeSource, now clock.Millis) {
	c := m.notices.coldness()
	was := now < c.until
	c.at, c.source, c.until = at, source, until
	if until > now && !was {
		f.restartSlots(m, now)
	}
}

// restartSlots makes the next slot of the server the first one. The caller holds the lock.
func (f *Fleet) restartSlots(m *serverState, now clock.Millis) {
	c := m.notices.coldness()
	c.startedAt, c.used = max(now, f.startedAt+coldStartupDelay), -1
	c.arrival = float64(c.startedAt) + f.coldBound.spare(m.coldRate)*m.slotMillis
}

// observeColdRow records what the row of the server says. What the server itself says in an answer is later than its row, which comes by
// way of the store; it holds until it runs out. The caller holds the lock.
func (f *Fleet) observeColdRow(m *serverState, r ColdRow, now clock.Millis) {
	if r.Left == 0 && m.notices.cold == nil {
		return
	}
	c := m.notices.coldness()
	switch {
	case r.ReadAt <= c.at:
	case r.Left > 0:
		f.setCold(m, r.ReadAt, max(r.ReadAt+r.Left, c.answeredUntil()), SourceRow, now)
	case c.source != SourceAnswer && c.source != SourcePeer:
		f.setCold(m, r.ReadAt, min(c.until, now), SourceRow, now)
	}
}

// answeredUntil returns the end of the coldness by the server's own answers, or zero if they are not the latest information.
func (c *cold) answeredUntil() clock.Millis {
	if c.source == SourceAnswer || c.source == SourcePeer {
		return c.until
	}
	return 0
}

// observe records what an answer, which came or was passed on, says at a time. An answer that ends the coldness has to be one to a
// request that was sent after the statement before. It reports whether the end changes by more than rounding.
func (f *Fleet) observeColdness(m *serverState, o Coldness, at, sentAt, until clock.Millis, source NoticeSource, now clock.Millis) bool {
	if !o.Known || o.Left == 0 && m.notices.cold == nil {
		return false
	}
	c := m.notices.coldness()
	before := c.until
	switch {
	case o.Left > 0 && at >= c.at:
		f.setCold(m, at, until, source, now)
	case o.Left == 0 && sentAt > c.at:
		f.setCold(m, sentAt, min(c.until, now), source, now)
	default:
		return false
	}
	const rounding clock.Millis = 100
	changed := (before > now) != (c.until > now) || max(before-c.until, c.until-before) > rounding && c.until > now
	if changed && source == SourceAnswer {
		c.newsAt = now
	}
	return changed
}

// observeStart makes a new process cold for the time after its start that its service names. The caller holds the lock.
func (f *Fleet) observeStart(m *serverState, now clock.Millis) {
	rule, ok := f.coldRules[m.server.Service]
	if !ok || m.startObserved || m.server.Boot == 0 {
		return
	}
	m.startObserved = true
	left := min(clock.Millis(m.server.Boot)+rule.Start-f.wallClock.Now(), rule.Start)
	if until := now + left; left > 0 && until > m.notices.coldness().until {
		f.setCold(m, now, until, SourceStart, now)
	}
}

// applyColdRule sets the rate of a cold server by its service. The caller holds the lock.
func (f *Fleet) applyColdRule(m *serverState, now clock.Millis) {
	rate := RequestRate(f.coldRules[m.server.Service].PerSecond)
	if rate == m.coldRate {
		return
	}
	m.coldRate = rate
	if rate > 0 {
		m.coldService = f.coldServiceOf(m.server.Service)
		m.slotMillis = float64(clock.Second) / float64(f.coldBound.slotRate(rate))
		if m.notices.cold != nil {
			f.restartSlots(m, now)
		}
	}
}

// SetCold sets the limits for cold servers of the services that have one.
func (f *Fleet) SetCold(rules map[poplarwinch.ServiceName]route.Cold) {
	f.mutex.Lock()
	now := f.clock.Now()
	f.coldRules = rules
	for _, m := range f.servers {
		f.applyColdRule(m, now)
		f.observeStart(m, now)
	}
	f.mutex.Unlock()
	f.wakeWaiters()
}

// IsCold reports whether the server is listed and cold.
func (f *Fleet) IsCold(id poplarwinch.UpstreamID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	m := f.servers[id]
	return m != nil && m.isCold(f.clock.Now())
}

// ColdServers returns the number of servers that are cold.
func (f *Fleet) ColdServers() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n, now := 0, f.clock.Now()
	for _, m := range f.servers {
		if m.isCold(now) {
			n++
		}
	}
	return n
}

// WantCold records that a decision for the service was held back because servers are cold. Peers then leave this instance part of
// the slots that they don't use.
func (f *Fleet) WantCold(service poplarwinch.ServiceName) {
	f.mutex.Lock()
	now := f.clock.Now()
	isNew := false
	if slices.ContainsFunc(f.near[service], func(m *serverState) bool { return m.isCold(now) }) {
		c := f.coldServiceOf(service)
		isNew = !c.isWanted(now)
		c.wantedAt = now
	}
	f.mutex.Unlock()
	if isNew {
		f.onChange(ReachNear)
	}
}

// CountOrders counts orders for reservations as requests to those of the servers that are cold.
func (f *Fleet) CountOrders(ids []poplarwinch.UpstreamID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	for _, id := range ids {
		if m := f.servers[id]; m != nil {
			f.countCold(m, now)
		}
	}
}

// countCold counts a request of this instance to the server if it is cold. The caller holds the lock.
func (f *Fleet) countCold(m *serverState, now clock.Millis) {
	if !m.isCold(now) {
		return
	}
	c := m.notices.coldness()
	c.sent++
	c.sentAt, m.coldService.sentAt = now, now
	c.used, _ = f.nextSlot(m, now)
	m.countArrivals(1, now)
}

// countArrivals counts requests of any instance while the server is cold.
func (m *serverState) countArrivals(requests int, now clock.Millis) {
	c := m.notices.coldness()
	c.arrival = max(c.arrival, float64(now)) + float64(requests)*m.slotMillis
	c.arrival = min(c.arrival, float64(now+maxLimitPause))
}

// coldWait returns the time until this instance may send the server another request because it is cold; zero means now. Instances of
// other cells leave it to those of its own. The caller holds the lock.
func (f *Fleet) coldWait(m *serverState, now clock.Millis) clock.Millis {
	if !m.isCold(now) {
		return 0
	}
	c := m.notices.coldness()
	if !f.isNear(m) {
		return c.until - now
	}
	_, at := f.nextSlot(m, now)
	guarded := c.arrival - f.coldBound.spare(m.coldRate)*m.slotMillis
	wait := clock.Millis(math.Ceil(max(at, guarded, float64(f.lentUntil(&m.coldService.loan, now))))) - now
	return min(max(wait, 0), c.until-now)
}

// coldReport returns what is reported to peers of the server. The caller holds the lock.
func (f *Fleet) coldReport(m *serverState, now clock.Millis) ColdReport {
	c := m.notices.cold
	if c == nil {
		return ColdReport{}
	}
	var r ColdReport
	if c.sentAt != 0 && now-c.sentAt < sentReportTime {
		r.Sent = c.sent
	}
	if c.source == SourceAnswer && c.newsAt != 0 && now-c.newsAt < newsReportTime {
		r.Coldness, r.Age = Coldness{Known: true, Left: max(c.until-now, 0)}, now-c.at
	}
	if r != (ColdReport{}) {
		r.Boot = m.server.Boot
	}
	return r
}

// mergeCold applies a peer's report on the server and reports whether the server's coldness has changed. The caller holds the lock.
func (f *Fleet) mergeCold(m *serverState, w, before *ServerWork, now clock.Millis) bool {
	r := &w.Cold
	if *r == (ColdReport{}) && m.notices.cold == nil {
		return false
	}
	if r.Boot != m.server.Boot {
		return false
	}
	at := now - r.Age
	changed := f.observeColdness(m, r.Coldness, at, at, now+r.Left, SourcePeer, now)
	if r.Sent == 0 {
		r.Sent = before.Cold.Sent // not repeated
	}
	sent := r.Sent - before.Cold.Sent
	switch {
	case sent < 0:
		sent = r.Sent // the peer or the server has restarted
	case before.Cold.Boot != r.Boot || before.Cold.Sent == 0:
		sent = min(sent, 1) // this instance may have missed earlier ones, which are long past
	}
	if sent > 0 && m.isCold(now) {
		m.countArrivals(sent, now)
	}
	return changed
}

// coldChanges returns the servers that have become cold or ceased to be since the last call. The caller holds the lock.
func (f *Fleet) coldChanges(now clock.Millis) []ColdChange {
	var list []ColdChange
	for _, m := range f.servers {
		c := m.notices.cold
		if c == nil {
			continue
		}
		if cold := m.isCold(now); cold != c.announced {
			c.announced = cold
			list = append(list, ColdChange{Server: m.server, Cold: cold, Left: max(c.until-now, 0), Source: c.source})
		}
	}
	return list
}
