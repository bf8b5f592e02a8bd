package connection_test

import (
	"net/http/httptest"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/internal/connection"
)

// Guards against answers of the platform's services whose head HTTP/1.1 forbids and whose body may not be the service's.
func TestMalformedAnswers(t *testing.T) {
	for _, broken := range raw.Malformed() {
		server := httptest.NewServer(broken.Handler("", "answer"))
		if response, err := connection.New().Client().Get(server.URL); err == nil {
			t.Errorf("%s: got status %d", broken.Name, response.StatusCode)
			_ = response.Body.Close()
		}
		server.Close()
	}
}
