package admission

import "sync/atomic"

const (
	// tokenBits is the number of low bits of an account's word that hold the token count.
	tokenBits = 40
	// tokenMask selects the token count; it is also the largest count.
	tokenMask = 1<<tokenBits - 1
)

// account counts the requests and tokens in flight. Both counts are packed into one word and updated together: limits are
// enforced exactly, and remove can check that an account without requests has no tokens.
type account struct {
	word atomic.Uint64
}

// add counts a request and reports true unless that would exceed a limit. A limit of zero does not apply.
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

// remove subtracts a request and reports whether the counts are consistent: neither is negative, and there are no tokens
// without requests.
func (a *account) remove(tokens int64) bool {
	for {
		old := a.word.Load()
		requests, held := int64(old>>tokenBits)-1, int64(old&tokenMask)-tokens
		consistent := requests >= 0 && held >= 0 && (requests > 0 || held == 0)
		if a.word.CompareAndSwap(old, uint64(max(requests, 0))<<tokenBits|uint64(max(held, 0))) {
			return consistent
		}
	}
}

// inFlight returns the current numbers of requests and tokens.
func (a *account) inFlight() (requests, tokens int64) {
	word := a.word.Load()
	return int64(word >> tokenBits), int64(word & tokenMask)
}
