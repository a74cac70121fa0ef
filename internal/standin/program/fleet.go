package program

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/standin/metastore"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// fleet runs the users' platform in one process: the store and the replicas of a model service and of a plain service.
type fleet struct {
	storeAddress      string // address on which the store listens
	firstReplica      string // address of the first replica; the others listen on the ports after it, model replicas first
	configurationFile string // file with the operators' configuration, which is written into the store
	modelReplicas     int    // number of replicas of the model service
	plainReplicas     int    // number of replicas of the plain service
}

// Names of the services in the sample configuration.
const (
	modelService = "quote-llm"
	plainService = "order-desk"
)

// fleetCommand returns the command that runs the users' platform.
func (p *Program) fleetCommand() *cobra.Command {
	f := &fleet{}
	cmd := &cobra.Command{
		Use:   "fleet",
		Short: "Runs the users' platform: its store, model replicas and replicas of a plain service",
		Example: "  standin fleet --store 127.0.0.1:19000 --replicas 127.0.0.1:19100 " +
			"--configuration examples/platform/configuration.json",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.Context()) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.storeAddress, "store", "127.0.0.1:19000", "address of the store")
	flags.StringVar(&f.firstReplica, "replicas", "127.0.0.1:19100", "address of the first replica")
	flags.StringVar(&f.configurationFile, "configuration", "", "file with the operators' configuration")
	flags.IntVar(&f.modelReplicas, "models", 6, "model replicas")
	flags.IntVar(&f.plainReplicas, "plain", 2, "replicas of the plain service")
	return cmd
}

// run serves the store and all replicas until ctx ends. It returns an error if the configuration can't be read, if the
// address of the first replica is invalid, or if a server fails.
func (f *fleet) run(ctx context.Context) error {
	configuration, err := os.ReadFile(f.configurationFile)
	if err != nil {
		return err
	}
	base, err := netip.ParseAddrPort(f.firstReplica)
	if err != nil {
		return err
	}
	store := &metastore.Store{}
	store.Put("op/config", configuration)
	failures := make(chan error, 1+f.modelReplicas+f.plainReplicas)
	clock := &replica.Clock{Fleet: &passes.Fleet{Params: passes.SampleEngine()}}
	names := make(map[netip.AddrPort]string)
	for i := range f.modelReplicas + f.plainReplicas {
		r := &replica.Replica{
			ID: fmt.Sprintf("i-%d", i), Service: modelService, FailureDomain: string(rune('a' + i%3)), Slots: 16,
			Address: netip.AddrPortFrom(base.Addr(), base.Port()+uint16(i)), Clock: clock, Log: &replica.RequestLog{},
			EngineNames: func() map[netip.AddrPort]string { return names },
		}
		if i >= f.modelReplicas {
			r.Service, r.Clock, r.ServiceTime, r.Slots = plainService, nil, 20*time.Millisecond, 6
		}
		names[r.Address] = r.ID
		go serveUntil(ctx, r.Address.String(), r, failures)
		store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	go serveUntil(ctx, f.storeAddress, store, failures)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	}
}

// serveUntil serves h on address until ctx ends. It sends an error to failures if it can't listen or the server fails.
func serveUntil(ctx context.Context, address string, h http.Handler, failures chan<- error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		failures <- err
		return
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failures <- err
	}
}
