package ports

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports of a process: below those that the system gives out, in a block that few other processes share.
const (
	lowest = 10000
	block  = 200
	blocks = 100
)

var taken atomic.Int64

// Free returns an address on loopback whose port is free and that this process has not returned before, as long as its
// block lasts.
func Free() (netip.AddrPort, error) {
	first := lowest + os.Getpid()%blocks*block
	for range block {
		port := first + int(taken.Add(1)-1)%block
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := l.Addr().(*net.TCPAddr).AddrPort()
		return address, errors.Wrap(l.Close(), "close")
	}
	return netip.AddrPort{}, errors.New("no free port")
}
