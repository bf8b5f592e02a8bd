package connection_test

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/internal/connection"
)

// Guards against answers of the platform's services whose head HTTP/1.1 forbids and whose body may not be the service's.
func TestMalformedAnswers(t *testing.T) {
	raw.ServeEach(raw.Malformed(), "", "answer", func(broken *raw.Answer, address string) {
		if response, err := connection.New().Client().Get("http://" + address); err == nil {
			t.Errorf("%s: got status %d", broken.Name, response.StatusCode)
			_ = response.Body.Close()
		}
	})
}
