package token_test

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/token"
)

// If an instance could not verify the tokens of another one, an interrupted answer would be lost; if it accepted
// altered ones, a customer could read the answer of another.
func TestSignerAcceptsOnlyItsOwnTokens(t *testing.T) {
	want := token.Resume{Customer: "c1", Request: "r1", Upstream: "e1", Address: "127.0.0.1:1", Stream: "r1-1", Expires: 9}
	signed := token.NewSigner([]byte("secret")).Sign(want)
	verifier := token.NewSigner([]byte("secret"))
	if got, err := verifier.Verify(signed); err != nil || got != want {
		t.Fatalf("Open() = %+v, %v, want %+v", got, err, want)
	}
	forged := token.NewSigner([]byte("guess")).Sign(want)
	for _, bad := range []string{"", ".", "a.b", signed + "A", "A" + signed, signed[:len(signed)-4], forged} {
		if r, err := verifier.Verify(bad); err == nil {
			t.Errorf("Open(%q) = %+v, want an error", bad, r)
		}
	}
}
