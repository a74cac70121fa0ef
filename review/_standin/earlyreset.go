package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	earlyRounds   = 16
	longBodyBytes = 600000 // of a request; maxBodyBytes is 4194304
	// The segment size and the receive buffer of a replica as on an Ethernet, where a link has small windows.
	segmentBytes    = 1448
	replicaRcvBytes = 16 << 10
	// How long the replica's queue of new connections stays full after a request was sent. The first connection of the
	// host, whose opening packet is dropped, hangs for a second; other hosts connect later and aren't held up.
	queueFullTime = 40 * time.Millisecond
	// How long after the first half of its answer the replica goes on or is reset.
	secondHalfDelay = 300 * time.Millisecond
	roundPause      = 300 * time.Millisecond
	answerLines     = 40
)

// slowReplica is a replica that answers long requests before it has read them, without a length.
type slowReplica struct {
	w        *world
	listener net.Listener
	address  string
	reset    atomic.Bool // connections are reset within the answer
	whole    []byte      // the body of its answer
	accepts  chan bool   // holds a value while connections are accepted
}

// newSlowReplica listens with a queue of new connections that holds one or two.
func newSlowReplica(w *world) (*slowReplica, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	for _, option := range [][3]int{
		{syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1},
		{syscall.SOL_SOCKET, syscall.SO_RCVBUF, replicaRcvBytes},
		{syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes},
	} {
		if err := syscall.SetsockoptInt(fd, option[0], option[1], option[2]); err != nil {
			return nil, err
		}
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 1); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	p := &slowReplica{w: w, listener: l, address: l.Addr().String(), accepts: make(chan bool, 1)}
	p.accepts <- true
	for i := range answerLines {
		p.whole = append(p.whole, fmt.Sprintf("line %02d of the answer\n", i+1)...)
	}
	go p.acceptAll()
	return p, nil
}

func (p *slowReplica) acceptAll() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		<-p.accepts // waits while the queue is to be full
		p.accepts <- true
		go p.serve(c.(*net.TCPConn))
	}
}

// serve answers one request: the head and half of the body, then the rest or a reset.
func (p *slowReplica) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReaderSize(c, 4096)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	p.w.note("replica: request %s begins to run", id)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig." + id + "\r\n" +
		"Content-Type: text/plain\r\n\r\n"
	half := len(p.whole) / 2
	if _, err := c.Write(append([]byte(head), p.whole[:half]...)); err != nil {
		return
	}
	time.Sleep(secondHalfDelay)
	if p.reset.Load() {
		// The system resets a connection that a process leaves with unread data, as it does when the process is killed.
		p.w.note("replica: request %s: crashes after %d of %d bytes of the answer", id, half, len(p.whole))
		return
	}
	_, _ = c.Write(p.whole[half:])
	n, _ := r.Body.Read(make([]byte, 1))
	for n > 0 {
		n, _ = r.Body.Read(make([]byte, 64<<10)) // reads on
	}
	p.w.note("replica: request %s: answered in full", id)
}

// fillQueue fills the queue of new connections for some time, so that the next ones hang, as behind a partition.
func (p *slowReplica) fillQueue(full <-chan struct{}) {
	<-p.accepts
	var fillers []net.Conn
	for {
		c, err := net.DialTimeout("tcp", p.address, 30*time.Millisecond)
		if err != nil {
			break
		}
		fillers = append(fillers, c)
	}
	go func() {
		<-full
		for _, c := range fillers {
			_ = c.Close()
		}
		p.accepts <- true
	}()
}

// earlyReset sends long requests through a host whose own new connections to the replica hang, so that they go through
// another host. The replica begins its answer, which has no length, before it has read the request, and crashes.
func earlyReset(w *world) (bool, error) {
	p, err := newSlowReplica(w)
	if err != nil {
		return false, err
	}
	p.reset.Store(w.trouble)
	w.putJSON("op/config", configuration(1, route("orders", "/orders/", "unsafe", "order-desk", 4000, 1)))
	w.putJSON("servers/i-1", entry("order-desk", p.address, 6, w.began))
	if err := w.addHosts(3); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	body := bytes.Repeat([]byte("0123456789"), longBodyBytes/10)
	broken := 0
	for i := range earlyRounds {
		h := w.hosts[0]
		r := &request{
			method: http.MethodPost, path: fmt.Sprintf("/orders/%d", i), id: fmt.Sprintf("%08x", 0x5eed0000+i), timeout: 4 * time.Second,
			body: body,
		}
		full := make(chan struct{})
		if w.trouble && os.Getenv("PARTITION") != "0" {
			p.fillQueue(full)
		}
		time.AfterFunc(queueFullTime, func() { close(full) })
		w.note("client: request %s to %s, %d bytes", r.id, h.name, len(r.body))
		a := send(h.front, r)
		w.note("client: request %s: %s", r.id, a)
		if a.status == http.StatusOK && a.complete && !bytes.Equal(a.body, p.whole) {
			broken++
			w.note("MIXED: request %s got a success with %d of the %d bytes of the replica's body", r.id, len(a.body), len(p.whole))
		}
		if !w.trouble && a.status != http.StatusOK {
			return false, fmt.Errorf("without the disruption: %s", a)
		}
		time.Sleep(roundPause)
	}
	w.note("sum: %d of %d requests got a success with a part of the replica's body", broken, earlyRounds)
	return broken > 0, nil
}
