package manifest

import (
	"slices"

	"github.com/poplarwinch/poplarwinch"
)

// Customer holds the keys, capacity share, limits and permissions of a customer.
type Customer struct {
	ID poplarwinch.CustomerID `json:"id"`
	// Weight determines the customer's share of the capacity under saturation, in proportion to all weights.
	Weight int `json:"weight"`
	// KeyHashes lists the SHA-256 hashes of the customer's keys as "sha256:" followed by 64 lowercase hex digits.
	KeyHashes []string `json:"key-hashes"`
	// MaxRequestsInFlight limits the customer's concurrent requests at each instance.
	MaxRequestsInFlight int `json:"max-requests-in-flight"`
	// MaxTokensInFlight limits the tokens of the customer's concurrent requests at each instance.
	MaxTokensInFlight poplarwinch.Tokens `json:"max-tokens-in-flight"`
	// Models lists the models that the customer may use.
	Models []poplarwinch.ModelName `json:"models,omitempty"`
	// Services lists the plain services that the customer may call.
	Services []poplarwinch.ServiceName `json:"services,omitempty"`
}

// MayUseModel reports whether the customer may send prompts to the model.
func (c *Customer) MayUseModel(name poplarwinch.ModelName) bool {
	return slices.Contains(c.Models, name)
}

// MayUseService reports whether the customer may call the plain service.
func (c *Customer) MayUseService(name poplarwinch.ServiceName) bool {
	return slices.Contains(c.Services, name)
}
