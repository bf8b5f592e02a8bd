package queue

import (
	"math"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// maxAccounts bounds the customers of a service whose use of servers is remembered while none of their requests waits.
const maxAccounts = 1024

// Queue has the waiting requests of an instance. It is not safe for concurrent use.
type Queue struct {
	items []*Item
	lines map[poplarwinch.ServiceName]*line
	// generation is raised when capacity may have become free.
	generation uint64
	passes     uint64
	compare    func(a, b *Item) int
}

// line is what the queue knows of one service.
type line struct {
	waiting  int
	accounts map[accountKey]*account
	// serial is that of the newest account.
	serial int
	// virtual is the virtual time of each class: the start tag of the item that was started last.
	virtual map[int]float64
	// urgentStarts is the number of items that were started since the last aged one.
	urgentStarts int
}

// accountKey identifies an account.
type accountKey struct {
	customer poplarwinch.CustomerID
	class    int
}

// account is a customer's share of the started work of one class.
type account struct {
	// serial orders the accounts of a service.
	serial  int
	waiting int
	// finish is the virtual time up to which the customer has used its share.
	finish float64
}

// Option configures a Queue.
type Option func(*Queue)

// WithCompare replaces the order of items by another one, without aging, to compare them.
func WithCompare(compare func(a, b *Item) int) Option { return func(q *Queue) { q.compare = compare } }

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{lines: map[poplarwinch.ServiceName]*line{}, generation: 1}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// Len returns the number of items.
func (q *Queue) Len() int { return len(q.items) }

// Add adds an item. It counts as tried.
func (q *Queue) Add(i *Item) {
	i.position, i.triedIn = len(q.items), q.generation
	i.size = int(sizesPerDoubling * math.Log2(1+i.Cost))
	i.patience = int(patiencesPerDoubling * math.Log2(1+float64(max(i.GivesUp-i.Arrived, 0))))
	q.items = append(q.items, i)
	l := q.lines[i.Service]
	if l == nil {
		l = &line{accounts: map[accountKey]*account{}, virtual: map[int]float64{}}
		q.lines[i.Service] = l
	}
	l.waiting++
	i.account = l.account(i)
	i.account.waiting++
}

// Remove removes an item.
func (q *Queue) Remove(i *Item) {
	last := len(q.items) - 1
	q.items[i.position] = q.items[last]
	q.items[i.position].position = i.position
	q.items[last] = nil
	q.items = q.items[:last]
	l := q.lines[i.Service]
	i.account.waiting--
	if l.waiting--; l.waiting == 0 {
		delete(q.lines, i.Service)
		return
	}
	l.prune()
}

// Started charges an item that has been started to its customer, whose next one comes after those of others.
func (q *Queue) Started(i *Item, now clock.Millis) {
	l := q.lines[i.Service]
	if l == nil {
		return
	}
	a := l.account(i)
	if l.urgentStarts++; i.Aged(now) {
		l.urgentStarts = 0
	}
	begin := max(l.virtual[i.Class], a.finish)
	l.virtual[i.Class] = begin
	a.finish = begin + max(i.Cost, 1)
}

// account returns the account of the item's customer.
func (l *line) account(i *Item) *account {
	key := accountKey{i.Customer, i.Class}
	a := l.accounts[key]
	if a == nil {
		l.serial++
		a = &account{serial: l.serial}
		l.accounts[key] = a
	}
	return a
}

// prune forgets accounts without waiting requests if there are too many.
func (l *line) prune() {
	if len(l.accounts) <= maxAccounts {
		return
	}
	for key, a := range l.accounts {
		if a.waiting == 0 {
			delete(l.accounts, key)
		}
	}
}

// CapacityChanged says that items that could not run may be able to.
func (q *Queue) CapacityChanged() { q.generation++ }

// Ahead returns the number of items of the service with the same regions that are more urgent than the item, or as urgent and arrived
// before it. Items with other regions may wait for other servers.
func (q *Queue) Ahead(i *Item) int {
	n := 0
	for _, other := range q.items {
		if other.Service == i.Service && other.Regions == i.Regions && (other.Class < i.Class || other.Class == i.Class && other.Arrived < i.Arrived) {
			n++
		}
	}
	return n
}

// MayOvertake reports whether a new item may run at once: no item of its service that is as urgent waits for its turn since capacity may
// have become free.
func (q *Queue) MayOvertake(i *Item, now clock.Millis) bool {
	for _, other := range q.items {
		if other.triedIn < q.generation && other.Service == i.Service && (other.Class <= i.Class || other.Aged(now)) {
			return false
		}
	}
	return true
}
