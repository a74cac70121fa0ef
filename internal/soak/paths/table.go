package paths

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"syscall"

	"github.com/turmericshunt/turmericshunt/internal/netconn"
)

// FileVariable is the environment variable that names the file.
const FileVariable = "TURMERICSHUNT_SOAK_PATHS"

// Table holds the paths of one host.
type Table struct {
	Relays  map[netip.AddrPort]netip.AddrPort `json:"relays"`  // address to connect to in place of that of a replica or host
	Silent  []netip.AddrPort                  `json:"silent"`  // replicas and hosts to which new connections hang
	Refused []netip.AddrPort                  `json:"refused"` // replicas and hosts to which new connections are refused
}

// Write replaces the file with the given name.
func (t *Table) Write(name string) error {
	data, err := json.Marshal(t)
	if err != nil {
		return err
	}
	if err := os.WriteFile(name+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// Connect connects to a replica or host as the file that FileVariable names allows.
func Connect(ctx context.Context, server netip.AddrPort) (*net.TCPConn, error) {
	var t Table
	data, err := os.ReadFile(os.Getenv(FileVariable))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, err
	}
	for _, silent := range t.Silent {
		if silent == server {
			<-ctx.Done()
			return nil, ctx.Err()
		}
	}
	for _, refused := range t.Refused {
		if refused == server {
			return nil, syscall.ECONNREFUSED
		}
	}
	// A relay accepts connections to a replica that is down, which would look like one that breaks them off.
	c, err := netconn.Connect(ctx, server)
	relay, ok := t.Relays[server]
	if err != nil || !ok {
		return c, err
	}
	_ = c.Close()
	return netconn.Connect(ctx, relay)
}
