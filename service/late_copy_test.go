package service_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/service"
)

// Guards against an answer that belongs to another caller: a server that sends a second copy of an answer, late, when the next call
// has been sent on the same connection.
func TestLateCopyOfAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go answerTwice(connection)
		}
	}()
	client := service.New()
	for _, path := range []string{"/first", "/second", "/third"} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		answer, err := client.Do(ctx, listener.Addr().String(), service.Call{Method: http.MethodGet, Path: path})
		cancel()
		if err != nil || string(answer.Body) != path {
			t.Errorf("%s: got %+v, %v", path, answer, err)
		}
	}
}

// answerTwice answers each request with its path, after a copy of the answer before it.
func answerTwice(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	last := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		if _, err := connection.Write([]byte(last + own)); err != nil {
			return
		}
		last = own
	}
}
