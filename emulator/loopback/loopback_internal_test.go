package loopback

import (
	"net"
	"testing"
)

// Guards against tests that fail by chance because a port that is free for a listener is in use for datagrams.
func TestPortInUseForDatagrams(t *testing.T) {
	occupied, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = occupied.Close() }()
	addresses := []string{occupied.LocalAddr().String(), "127.0.0.1:0"}
	listener, datagrams, err := listen(func() (net.Listener, error) {
		address := addresses[0]
		addresses = addresses[1:]
		return net.Listen("tcp", address)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _, _ = listener.Close(), datagrams.Close() }()
	if l, d := listener.Addr().(*net.TCPAddr).Port, datagrams.LocalAddr().(*net.UDPAddr).Port; l != d {
		t.Errorf("the listener has port %d, the socket for datagrams %d", l, d)
	}
}
