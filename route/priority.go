package route

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
)

const (
	// PriorityClasses is the largest number of classes into which the priorities of a service are divided. Instances exchange the number
	// of waiting requests by class, so it bounds their datagrams.
	PriorityClasses = 4
	// maxUrgency is the least urgent value that servers accept.
	maxUrgency = 9
)

// Priority is the priority of a request among those of its service.
type Priority struct {
	// Class is less than PriorityClasses; 0 is the most urgent.
	Class int
	// Urgency is the value for servers, 0 to 9; 0 is the most urgent.
	Urgency int
	// Ordered says that waiting requests of the service are put in order, because its routes have differing priorities. Priorities of
	// customers alone don't do so: with a few customers ahead of many equal ones, the order delayed decisions on short prompts by more than
	// the few gained.
	Ordered bool
}

// PriorityOf returns the priority of a customer's request to a service of the route. It is nil if all requests of the service have the
// same priority, or t is nil.
func (t *Table) PriorityOf(r *Route, customer poplarwinch.CustomerID, service poplarwinch.ServiceName) *Priority {
	if t == nil {
		return nil
	}
	levels := t.priorities[service]
	if levels == nil {
		return nil
	}
	level := r.Priority
	if own, ok := t.customerPriorities[customer]; ok {
		level = own
	}
	return levels[level]
}

// compilePriorities indexes the priorities of customers and those of the services whose requests have differing ones.
func (t *Table) compilePriorities() {
	t.customerPriorities = map[poplarwinch.CustomerID]int{}
	var ofCustomers []int
	for i := range t.Customers {
		if c := &t.Customers[i]; c.Priority != nil {
			t.customerPriorities[c.ID] = *c.Priority
			ofCustomers = append(ofCustomers, *c.Priority)
		}
	}
	levels := map[poplarwinch.ServiceName][]int{}
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, target := range r.Targets {
			levels[target.Service] = append(levels[target.Service], r.Priority)
		}
	}
	t.priorities = map[poplarwinch.ServiceName]map[int]*Priority{}
	for service, list := range levels {
		ordered := slices.Min(list) != slices.Max(list)
		list = slices.Concat(list, ofCustomers)
		slices.Sort(list)
		if list = slices.Compact(list); len(list) > 1 {
			t.priorities[service] = divide(list, ordered)
		}
	}
}

// divide assigns classes and urgencies to the levels, which are sorted and distinct. Levels that are valid urgencies are kept as such;
// otherwise they are numbered.
func divide(levels []int, ordered bool) map[int]*Priority {
	priorities := make(map[int]*Priority, len(levels))
	valid := levels[0] >= 0 && levels[len(levels)-1] <= maxUrgency
	for i, level := range levels {
		p := &Priority{Class: spread(i, len(levels), PriorityClasses), Urgency: level, Ordered: ordered}
		if !valid {
			p.Urgency = spread(i, len(levels), maxUrgency+1)
		}
		priorities[level] = p
	}
	return priorities
}

// spread returns the bucket of the item at the index if count items in order are spread over a number of buckets.
func spread(index, count, buckets int) int {
	if count <= buckets {
		return index
	}
	return index * buckets / count
}
