// Package loopback opens sockets on the loopback interface for instances that run within a test.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// maxAttempts is the number of ports that are tried.
const maxAttempts = 100

// Listen opens a listener and a socket for datagrams on the same free port.
func Listen() (net.Listener, *net.UDPConn, error) {
	return listen(func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") })
}

// FreeAddress returns an address whose port was free for a listener and for datagrams. Another process can take it before it is
// used, so the caller retries with another address.
func FreeAddress() (netip.AddrPort, error) {
	listener, datagrams, err := Listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	return address, errors.Join(listener.Close(), datagrams.Close())
}

// listen opens listeners until one has a port that is free for datagrams too.
func listen(openListener func() (net.Listener, error)) (net.Listener, *net.UDPConn, error) {
	var lastErr error
	for range maxAttempts {
		listener, err := openListener()
		if err != nil {
			return nil, nil, fmt.Errorf("listen on the loopback interface: %w", err)
		}
		datagrams, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listener.Addr().(*net.TCPAddr).AddrPort()))
		if err == nil {
			return listener, datagrams, nil
		}
		lastErr = err
		// The port is held until a later one has been tried, so that the system doesn't offer it again.
		defer func() { _ = listener.Close() }()
	}
	return nil, nil, fmt.Errorf("none of %d ports is free for datagrams: %w", maxAttempts, lastErr)
}
