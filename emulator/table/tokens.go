package table

import "github.com/poplarwinch/poplarwinch/clock"

// tokenLifetime is how long the protocol treats a repeated ClientRequestToken as the same request.
const tokenLifetime = 10 * clock.Minute

// tokens remembers the client request tokens of transactions that took effect.
type tokens struct {
	clock *clock.Clock
	used  map[string]usedToken
}

type usedToken struct {
	at     clock.Millis
	digest [32]byte
}

func newTokens(c *clock.Clock) *tokens { return &tokens{clock: c, used: map[string]usedToken{}} }

func (t *tokens) check(token string, digest [32]byte) (repeated, mismatch bool) {
	u, ok := t.used[token]
	if token == "" || !ok || t.clock.Now()-u.at > tokenLifetime {
		return false, false
	}
	return u.digest == digest, u.digest != digest
}

func (t *tokens) add(token string, digest [32]byte) {
	if token != "" {
		t.used[token] = usedToken{at: t.clock.Now(), digest: digest}
	}
}
