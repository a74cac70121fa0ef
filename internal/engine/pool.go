package engine

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	defaultConnectTimeout = time.Second
	defaultIdlePerServer  = 64               // idle connections kept for each engine
	idleTimeout           = 30 * time.Second // after which an idle connection is closed
	maxHeaderBytes        = 64 << 10
)

// pools holds one connection pool, an *http.Transport, for each engine.
type pools struct {
	byAddress sync.Map // from netip.AddrPort to *http.Transport
}

// get returns the pool of the engine at address; if there is none, it stores the one that create returns.
func (p *pools) get(address netip.AddrPort, create func() *http.Transport) *http.Transport {
	if t, ok := p.byAddress.Load(address); ok {
		return t.(*http.Transport)
	}
	t, _ := p.byAddress.LoadOrStore(address, create())
	return t.(*http.Transport)
}

// discard removes the pool old, one of whose connections received no data in time or broke, and closes its idle
// connections; later calls open new ones. Calls in flight keep their connections, each with its own timeout. A newer
// pool for the same address stays.
func (p *pools) discard(address netip.AddrPort, old *http.Transport) {
	p.byAddress.CompareAndDelete(address, old)
	old.CloseIdleConnections()
}

func (p *pools) closeIdle() {
	p.byAddress.Range(func(_, t any) bool {
		t.(*http.Transport).CloseIdleConnections()
		return true
	})
}

// newTransport returns a connection pool. If keepAlive is false, every call opens a connection of its own.
func (c *Client) newTransport(keepAlive bool) *http.Transport {
	timeout := c.ConnectTimeout
	if timeout == 0 {
		timeout = defaultConnectTimeout
	}
	idle := c.MaxIdleConnsPerServer
	if idle == 0 {
		idle = defaultIdlePerServer
	}
	dialer := &net.Dialer{Timeout: timeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
