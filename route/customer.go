package route

import "github.com/poplarwinch/poplarwinch"

// Customer is a customer with its API keys.
type Customer struct {
	ID   poplarwinch.CustomerID
	Keys []string
	// Priority takes precedence over a route's; nil leaves the route's.
	Priority *int
}
