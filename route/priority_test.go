package route_test

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/route"
)

// Guards against a priority of a customer that is ignored, priorities in deployments that have none, and values that servers or peers
// don't accept.
func TestPriorityOf(t *testing.T) {
	level := func(n int) *int { return &n }
	table := func(priorities []int, customers ...route.Customer) *route.Table {
		c := &route.Table{Customers: append(customers, route.Customer{ID: "plain"})}
		for i, p := range priorities {
			c.Routes = append(c.Routes, route.Route{Name: fmt.Sprint(i), Priority: p, Targets: []route.Target{{Service: "s", Weight: 1}}})
		}
		c.Routes = append(c.Routes, route.Route{Name: "other", Priority: 7, Targets: []route.Target{{Service: "o", Weight: 1}}})
		return c.Compile()
	}
	of := func(c *route.Table, i int, customer poplarwinch.CustomerID) *route.Priority {
		return c.PriorityOf(&c.Routes[i], customer, "s")
	}
	if got := of(table([]int{3, 3}), 0, "plain"); got != nil {
		t.Errorf("same priorities: got %+v, want none", got)
	}
	if got := of(table([]int{3}, route.Customer{ID: "same", Priority: level(3)}), 0, "same"); got != nil {
		t.Errorf("customer with the priority of the route: got %+v, want none", got)
	}
	if got := of(table([]int{3}, route.Customer{ID: "urgent", Priority: level(0)}), 0, "urgent"); got == nil || *got != (route.Priority{Urgency: 0}) {
		t.Errorf("routes with the same priority: got %+v, want an urgency and no order", got)
	}
	mixed := table([]int{2, 5}, route.Customer{ID: "urgent", Priority: level(0)})
	for _, c := range []struct {
		route    int
		customer poplarwinch.CustomerID
		want     route.Priority
	}{
		{0, "plain", route.Priority{Class: 1, Urgency: 2, Ordered: true}},
		{1, "", route.Priority{Class: 2, Urgency: 5, Ordered: true}},
		{1, "urgent", route.Priority{Urgency: 0, Ordered: true}},
	} {
		if got := of(mixed, c.route, c.customer); got == nil || *got != c.want {
			t.Errorf("route %d, customer %q: got %+v, want %+v", c.route, c.customer, got, c.want)
		}
	}
	var many []int
	for i := range 30 {
		many = append(many, 10*i)
	}
	wide := table(many)
	for i, last := 0, (route.Priority{}); i < len(many); i++ {
		got := of(wide, i, "plain")
		if got == nil || got.Class >= route.PriorityClasses || got.Urgency > 9 || got.Class < last.Class || got.Urgency < last.Urgency {
			t.Fatalf("level %d: got %+v after %+v", many[i], got, last)
		}
		last = *got
	}
}
