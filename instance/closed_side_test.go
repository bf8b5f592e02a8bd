package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	emulatedservice "github.com/poplarwinch/poplarwinch/emulator/service"
)

// dialCaller opens a connection of a caller.
func dialCaller(t *testing.T, n *testInstance) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", n.caller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(conditionTimeout))
	return c.(*net.TCPConn)
}

// TestCallerClosesItsSide guards against a caller that gets no response at all, because it has closed its side of the connection after the
// request and was taken for gone.
func TestCallerClosesItsSide(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{services: 1})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	cluster.services[0].SetFaults(emulatedservice.Faults{Delay: 500})
	c := dialCaller(t, n)
	_, err := fmt.Fprintf(c, "GET /services/bookings/rooms HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Errorf("the response was cut off: %v", err)
	}
}

// TestRefusalBeforeTheBodyIsRead guards against a refusal that is lost because the connection is reset: the request is refused before its body
// has been read, and bytes that are not read reset a connection when it is closed.
func TestRefusalBeforeTheBodyIsRead(t *testing.T) {
	t.Parallel()
	const size, parts = 8_000_000, 4
	cluster := newCluster(t, clusterOptions{engines: 1})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	c := dialCaller(t, n)
	_, err := fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\nContent-Length: %d\r\n\r\n", size)
	if err != nil {
		t.Fatal(err)
	}
	for i := range parts {
		if _, err := c.Write(make([]byte, size/parts)); err != nil {
			t.Errorf("part %d of the body: %v", i, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusUnauthorized {
		t.Fatalf("got %+v and %v, want 401", response, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Errorf("the response was cut off: %v", err)
	}
}
