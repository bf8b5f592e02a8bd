package admission

import "sync/atomic"

const (
	tokenBits = 40
	tokenMask = 1<<tokenBits - 1
)

// account counts requests and tokens in flight. Both are in one word, so that limits are exact and an account without
// requests can be checked to have no tokens.
type account struct {
	word atomic.Uint64
}

// add counts a request unless that exceeds a limit; a limit of zero does not apply.
func (a *account) add(tokens, maxRequests, maxTokens int64) bool {
	for {
		old := a.word.Load()
		requests, held := int64(old>>tokenBits)+1, int64(old&tokenMask)+tokens
		if maxRequests > 0 && requests > maxRequests || maxTokens > 0 && held > maxTokens || held > tokenMask {
			return false
		}
		if a.word.CompareAndSwap(old, uint64(requests)<<tokenBits|uint64(held)) {
			return true
		}
	}
}

// remove takes a request back and reports whether the account still adds up.
func (a *account) remove(tokens int64) bool {
	for {
		old := a.word.Load()
		requests, held := int64(old>>tokenBits)-1, int64(old&tokenMask)-tokens
		sound := requests >= 0 && held >= 0 && (requests > 0 || held == 0)
		if a.word.CompareAndSwap(old, uint64(max(requests, 0))<<tokenBits|uint64(max(held, 0))) {
			return sound
		}
	}
}

// inFlight returns the current requests and tokens.
func (a *account) inFlight() (requests, tokens int64) {
	word := a.word.Load()
	return int64(word >> tokenBits), int64(word & tokenMask)
}
