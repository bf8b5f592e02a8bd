package loopback

import (
	"net"
	"testing"
)

// Guards against tests that fail by chance because a port that is free for a listener is in use for datagrams.
func TestPortInUseForDatagrams(t *testing.T) {
	first, occupied, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	calls := 0
	listener, datagrams, err := listen(func() (net.Listener, error) {
		if calls++; calls == 1 {
			return first, nil
		}
		return net.Listen("tcp", "127.0.0.1:0")
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = listener.Close(), datagrams.Close() }()
	if listener == first {
		t.Error("got the listener whose port is in use for datagrams")
	}
	if l, d := listener.Addr().(*net.TCPAddr).Port, datagrams.LocalAddr().(*net.UDPAddr).Port; l != d {
		t.Errorf("the listener has port %d, the socket for datagrams %d", l, d)
	}
}
