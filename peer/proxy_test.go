package peer_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// proxy is a TCP proxy whose open connections can be made to fail while new ones work.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	open     []*proxied
	accepted atomic.Int64
}

type proxied struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	p := &proxy{listener: listen(t), target: target}
	go p.run()
	t.Cleanup(func() { p.listener.Close(); p.cut() })
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
		c := &proxied{client: client, server: server}
		p.mutex.Lock()
		p.open = append(p.open, c)
		p.mutex.Unlock()
		go c.copy(server, client)
		go c.copy(client, server)
	}
}

// copy drops data instead of delivering it once the connection is silent.
func (c *proxied) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// silence makes the open connections drop all data without closing them.
func (p *proxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.open {
		c.silent.Store(true)
	}
}

// cut closes the open connections.
func (p *proxy) cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.open {
		c.client.Close()
		c.server.Close()
	}
	p.open = nil
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
