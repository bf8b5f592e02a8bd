package service_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/service"
)

// Guards against a caller who gets no answer at all because a server's status line has a number that can't be written, or ends no call.
func TestStatusThatEndsNoCall(t *testing.T) {
	for _, status := range []int{0, 99, 101} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = connection.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 %03d X\r\nContent-Length: 2\r\n\r\nok", status)
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		answer, err := service.New().Do(ctx, listener.Addr().String(), service.Call{Method: http.MethodGet, Path: "/x"})
		cancel()
		var interrupted *service.InterruptedError
		if !errors.As(err, &interrupted) {
			t.Errorf("status %03d: got %+v, %v, want an InterruptedError", status, answer, err)
		}
		_ = listener.Close()
	}
}
