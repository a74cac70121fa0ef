package ports

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports that a process takes: below those that the system assigns, in a block of its own.
const (
	lowestPort = 10000 // first port of the first block
	blockSize  = 200   // ports per block
	blockCount = 100
)

// block is the block of this process. The listener on its first port, which is open until the process ends, keeps other
// processes from taking it.
var block struct {
	once     sync.Once
	first    int // port after that of the listener
	listener net.Listener
}

// takeBlock takes the first free block from the one that a process id selects. It returns the listener on its first port and the
// port after that; the listener is nil if no block is free.
func takeBlock(pid int) (l net.Listener, first int) {
	for i := range blockCount {
		port := lowestPort + (pid+i)%blockCount*blockSize
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l, port + 1
		}
	}
	return nil, 0
}

// portsTried is how many ports this process has tried so far; it selects the next port in the block.
var portsTried atomic.Int64

// Free returns an address on loopback whose port is free. It returns no port twice until the process has tried its
// whole block; then it starts again with the first. It returns an error if no block, or no port of the block, is free.
func Free() (netip.AddrPort, error) {
	block.once.Do(func() { block.listener, block.first = takeBlock(os.Getpid()) })
	if block.listener == nil {
		return netip.AddrPort{}, errors.New("no free block of ports")
	}
	for range blockSize - 1 {
		port := block.first + int(portsTried.Add(1)-1)%(blockSize-1)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := l.Addr().(*net.TCPAddr).AddrPort()
		return address, errors.Wrap(l.Close(), "close")
	}
	return netip.AddrPort{}, errors.New("no free port")
}
