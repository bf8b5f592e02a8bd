package main

import (
	"net/http"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
)

// Guards against a command that takes a malformed answer, or a part of one, for the instance's.
func TestBrokenAnswers(t *testing.T) {
	raw.ServeEach(raw.Broken(), "", acceptedBody, func(broken *raw.Answer, address string) {
		client := operatorClient{Operator: "http://" + address}
		if data, err := client.request(t.Context(), http.MethodPut, "/manifest", nil, []byte("{}")); err == nil {
			t.Errorf("%s: got %q", broken.Name, data)
		}
	})
}
