package manifest

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
)

// Customer is a customer with its keys, its share of the capacity and its permissions.
type Customer struct {
	ID poplarwinch.CustomerID `json:"id"`
	// Weight is the customer's share of capacity under saturation, relative to the other customers.
	Weight int `json:"weight"`
	// KeyHashes are the SHA-256 hashes of the customer's keys, as "sha256:" and 64 lowercase hex digits.
	KeyHashes []string `json:"key-hashes"`
	// MaxRequestsInFlight and MaxTokensInFlight apply at each instance.
	MaxRequestsInFlight int                       `json:"max-requests-in-flight"`
	MaxTokensInFlight   poplarwinch.Tokens        `json:"max-tokens-in-flight"`
	Models              []poplarwinch.ModelName   `json:"models,omitempty"`
	Services            []poplarwinch.ServiceName `json:"services,omitempty"`
}

// MayUseModel reports whether the customer may send prompts to the model.
func (c *Customer) MayUseModel(name poplarwinch.ModelName) bool {
	return slices.Contains(c.Models, name)
}

// MayUseService reports whether the customer may call the plain service.
func (c *Customer) MayUseService(name poplarwinch.ServiceName) bool {
	return slices.Contains(c.Services, name)
}
