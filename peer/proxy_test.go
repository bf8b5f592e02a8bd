package peer_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// proxy is a TCP proxy that can make its open connections fail while new ones work.
type proxy struct {
	listener    net.Listener
	target      string
	mutex       sync.Mutex
	connections []*proxyConn
	accepted    atomic.Int64
}

type proxyConn struct {
	client, server net.Conn
	blackholed     atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	p := &proxy{listener: listen(t), target: target}
	go p.run()
	t.Cleanup(func() { p.listener.Close(); p.closeConnections() })
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.accepted.Add(1)
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		c := &proxyConn{client: client, server: server}
		p.mutex.Lock()
		p.connections = append(p.connections, c)
		p.mutex.Unlock()
		go c.copy(server, client)
		go c.copy(client, server)
	}
}

// copy forwards data, and drops it once the connection is blackholed.
func (c *proxyConn) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.blackholed.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// blackhole makes the open connections drop all data without being closed.
func (p *proxy) blackhole() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.connections {
		c.blackholed.Store(true)
	}
}

func (p *proxy) closeConnections() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.connections {
		c.client.Close()
		c.server.Close()
	}
	p.connections = nil
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
