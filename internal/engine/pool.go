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
	defaultIdlePerServer  = 64
	idleTimeout           = 30 * time.Second
	maxHeaderBytes        = 64 << 10
)

// pools holds the connections to each server.
type pools struct {
	byAddress sync.Map // netip.AddrPort to *http.Transport
}

func (p *pools) get(address netip.AddrPort, make func() *http.Transport) *http.Transport {
	if t, ok := p.byAddress.Load(address); ok {
		return t.(*http.Transport)
	}
	t, _ := p.byAddress.LoadOrStore(address, make())
	return t.(*http.Transport)
}

// replace drops a pool with a connection that went silent: its idle connections are closed, and later calls dial anew.
// Calls that are under way keep their connections, on each of which silence has its own bound.
func (p *pools) replace(address netip.AddrPort, old *http.Transport) {
	p.byAddress.CompareAndDelete(address, old)
	old.CloseIdleConnections()
}

func (p *pools) closeIdle() {
	p.byAddress.Range(func(_, t any) bool {
		t.(*http.Transport).CloseIdleConnections()
		return true
	})
}

// newTransport returns a pool of connections; without keepAlive each call has a connection of its own.
func (c *Client) newTransport(keepAlive bool) *http.Transport {
	timeout := c.ConnectTimeout
	if timeout == 0 {
		timeout = defaultConnectTimeout
	}
	idle := c.IdlePerServer
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
