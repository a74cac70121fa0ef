package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Owner returns the host that schedules a backend server; hosts with equal lists agree on it.
func Owner(server string, hosts []protocol.Host) (protocol.Host, bool) {
	var owner protocol.Host
	var best uint64
	key := xxhash.Sum64String(server)
	for i := range hosts {
		w := weigh(key, xxhash.Sum64String(hosts[i].Name))
		if owner.Name == "" || w > best || w == best && hosts[i].Name > owner.Name {
			owner, best = hosts[i], w
		}
	}
	return owner, owner.Name != ""
}

// weigh is the rendezvous weight of a key at a node.
func weigh(key, node uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], node)
	return xxhash.Sum64(b[:])
}
