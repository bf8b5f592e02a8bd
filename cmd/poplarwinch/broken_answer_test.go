package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
)

// Guards against a command that takes a malformed answer, or a part of one, for the instance's.
func TestBrokenAnswers(t *testing.T) {
	for _, broken := range append(raw.Malformed(), raw.Parts()[:2]...) {
		server := httptest.NewServer(broken.Handler("", acceptedBody))
		client := operatorClient{Operator: server.URL}
		if data, err := client.request(t.Context(), http.MethodPut, "/manifest", nil, []byte("{}")); err == nil {
			t.Errorf("%s: got %q", broken.Name, data)
		}
		server.Close()
	}
}
