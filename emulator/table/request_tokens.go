package table

import "github.com/poplarwinch/poplarwinch/clock"

// tokenLifetime is how long the protocol treats requests with the same ClientRequestToken as one request.
const tokenLifetime = 10 * clock.Minute

// requestTokens stores the client request tokens of the transactions that were applied.
type requestTokens struct {
	clock *clock.Clock
	used  map[string]usedToken
}

type usedToken struct {
	at     clock.Millis
	digest [32]byte
}

func newRequestTokens(c *clock.Clock) *requestTokens {
	return &requestTokens{clock: c, used: map[string]usedToken{}}
}

func (t *requestTokens) check(token string, digest [32]byte) (repeated, mismatch bool) {
	u, ok := t.used[token]
	if token == "" || !ok || t.clock.Now()-u.at > tokenLifetime {
		return false, false
	}
	return u.digest == digest, u.digest != digest
}

func (t *requestTokens) add(token string, digest [32]byte) {
	if token != "" {
		t.used[token] = usedToken{at: t.clock.Now(), digest: digest}
	}
}
