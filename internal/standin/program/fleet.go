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

// fleet is the users' platform in one process: the store and replicas of a model service and a plain one.
type fleet struct {
	store         string
	replicas      string // address of the first replica; the others follow
	configuration string
	models        int
	plain         int
}

// The services' names in the sample configuration.
const (
	modelService = "quote-llm"
	plainService = "order-desk"
)

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
	flags.StringVar(&f.store, "store", "127.0.0.1:19000", "address of the store")
	flags.StringVar(&f.replicas, "replicas", "127.0.0.1:19100", "address of the first replica")
	flags.StringVar(&f.configuration, "configuration", "", "file with the operators' configuration")
	flags.IntVar(&f.models, "models", 6, "model replicas")
	flags.IntVar(&f.plain, "plain", 2, "replicas of the plain service")
	return cmd
}

func (f *fleet) run(ctx context.Context) error {
	configuration, err := os.ReadFile(f.configuration)
	if err != nil {
		return err
	}
	first, err := netip.ParseAddrPort(f.replicas)
	if err != nil {
		return err
	}
	store := &metastore.Store{}
	store.Put("op/config", configuration)
	failures := make(chan error, 1+f.models+f.plain)
	clock := &replica.Clock{Fleet: &passes.Fleet{Params: passes.SampleEngine()}}
	names := make(map[netip.AddrPort]string)
	for i := range f.models + f.plain {
		r := &replica.Replica{
			ID: fmt.Sprintf("i-%d", i), Service: modelService, Domain: string(rune('a' + i%3)), Slots: 16,
			Address: netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)), Clock: clock, Log: &replica.Log{},
			Names: func() map[netip.AddrPort]string { return names },
		}
		if i >= f.models {
			r.Service, r.Clock, r.Work, r.Slots = plainService, nil, 20*time.Millisecond, 6
		}
		names[r.Address] = r.ID
		go serveUntil(ctx, r.Address.String(), r, failures)
		store.Put("servers/"+r.ID, r.Entry("ready"))
	}
	go serveUntil(ctx, f.store, store, failures)
	select {
	case <-ctx.Done():
		return nil
	case err := <-failures:
		return err
	}
}

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
