package routing

import "github.com/poplarwinch/poplarwinch/clock"

// Forecast is the prediction for a prompt on the best engine.
type Forecast struct {
	TimeToFirstToken clock.Millis
	// Wait is the part of the prediction that is spent on work ahead of the prompt.
	Wait clock.Millis
	// TokensPerSecond is the prefill rate of all eligible engines together.
	TokensPerSecond int64
}
