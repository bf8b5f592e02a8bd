package route

import "github.com/poplarwinch/poplarwinch"

// Customer is a customer with its API keys.
type Customer struct {
	ID   poplarwinch.CustomerID
	Keys []string
	// Priority overrides the route's priority; nil keeps that of the route.
	Priority *int
	// AllowedRegions are the regions whose servers may get the customer's requests; empty allows all.
	AllowedRegions []Region
}
