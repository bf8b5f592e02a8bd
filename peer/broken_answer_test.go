package peer_test

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/membership"
)

// Guards against a peer that counts as alive by an answer that is not HTTP/2.
func TestAnswersOfAnotherProtocol(t *testing.T) {
	x := newInstance(t, "x", "domain-a")
	raw.ServeEach(append(raw.Malformed(), raw.Sound()...), "", "answer", func(answer *raw.Answer, address string) {
		if _, err := x.Probe(t.Context(), membership.Member{Address: address}, nil); err == nil {
			t.Errorf("%s: the peer counts as alive", answer.Name)
		}
	})
}
