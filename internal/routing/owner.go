package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Owner returns the host that schedules a backend server, chosen by rendezvous hashing. Hosts that pass equal lists get
// the same owner. It returns false if hosts is empty.
func Owner(server string, hosts []protocol.Host) (protocol.Host, bool) {
	var owner protocol.Host
	var ownerWeight uint64
	key := xxhash.Sum64String(server)
	for i := range hosts {
		weight := rendezvousWeight(key, xxhash.Sum64String(hosts[i].Name))
		if owner.Name == "" || weight > ownerWeight || weight == ownerWeight && hosts[i].Name > owner.Name {
			owner, ownerWeight = hosts[i], weight
		}
	}
	return owner, owner.Name != ""
}

// rendezvousWeight returns the weight of a key on a node; the node with the highest weight gets the key.
func rendezvousWeight(key, node uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], node)
	return xxhash.Sum64(b[:])
}
