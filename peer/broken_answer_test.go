package peer_test

import (
	"net/http/httptest"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/membership"
)

// Guards against a peer that counts as alive by an answer that is not HTTP/2.
func TestAnswersOfAnotherProtocol(t *testing.T) {
	x := newInstance(t, "x", "domain-a")
	for _, answer := range append(raw.Malformed(), raw.Sound()...) {
		server := httptest.NewServer(answer.Handler("", "answer"))
		if _, err := x.Probe(t.Context(), membership.Member{Address: server.Listener.Addr().String()}, nil); err == nil {
			t.Errorf("%s: the peer counts as alive", answer.Name)
		}
		server.Close()
	}
}
