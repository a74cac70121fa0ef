package ports

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports that a process takes: below those that the system assigns, in a block that the process id selects, so that few
// other processes share it.
const (
	lowestPort = 10000 // first port of the first block
	blockSize  = 200   // ports per block
	blockCount = 100
)

// portsTried is how many ports this process has tried so far; it selects the next port in the block.
var portsTried atomic.Int64

// Free returns an address on loopback whose port is free. It returns no port twice until the process has tried its
// whole block; then it starts again with the first. It returns an error if no port of the block is free.
func Free() (netip.AddrPort, error) {
	first := lowestPort + os.Getpid()%blockCount*blockSize
	for range blockSize {
		port := first + int(portsTried.Add(1)-1)%blockSize
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := l.Addr().(*net.TCPAddr).AddrPort()
		return address, errors.Wrap(l.Close(), "close")
	}
	return netip.AddrPort{}, errors.New("no free port")
}
