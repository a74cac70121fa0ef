package program

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/standin/demo"
	"github.com/turmericshunt/turmericshunt/internal/standin/engine"
	"github.com/turmericshunt/turmericshunt/internal/standin/load"
	"github.com/turmericshunt/turmericshunt/internal/standin/platform"
	"github.com/turmericshunt/turmericshunt/internal/standin/service"
)

// Program is the command line of the stand-ins.
type Program struct {
	Out io.Writer // output of the commands
	Err io.Writer // errors and logs
}

// Run executes the command that args name and returns the exit code: 0, or 1 if the command fails, with the error
// printed to Err. SIGINT and SIGTERM end the command's context.
func (p *Program) Run(ctx context.Context, args []string) int {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Runs stand-ins of the systems around turmericshunt, for the demo and tests",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(p.engineCommand(), p.serviceCommand(), p.platformCommand(), p.demoCommand(), p.loadCommand(),
		p.fleetCommand())
	root.SetArgs(args)
	root.SetOut(p.Out)
	root.SetErr(p.Err)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(p.Err, "standin:", err)
		return 1
	}
	return 0
}

func (p *Program) newLogger() *slog.Logger { return slog.New(slog.NewTextHandler(p.Err, nil)) }

// engineCommand returns the command that runs a model engine.
func (p *Program) engineCommand() *cobra.Command {
	e := &engine.Engine{}
	var listen string
	cmd := &cobra.Command{
		Use:     "engine",
		Short:   "Runs a model engine",
		Example: "  standin engine --name g1 --listen 127.0.0.1:8001 --model tender-1",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return errors.WithStack(err)
			}
			e.Listen, e.Log = address, p.newLogger()
			return e.Run(cmd.Context())
		},
	}
	f := cmd.Flags()
	f.StringVar(&e.Name, "name", "engine", "name of the backend server")
	f.StringVar(&listen, "listen", "127.0.0.1:8001", "IP number and port")
	f.StringSliceVar(&e.Models, "model", nil, "models loaded at the start")
	f.Float64Var(&e.Speed, "speed", 1, "divides all times")
	f.BoolVar(&e.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
	f.Int64Var(&e.Simulation.MemoryBytes, "memory-bytes", 0, "KV memory; 0 means room for 400,000 tokens")
	f.DurationVar(&e.MaxLoadReportAge, "load-lag", 200*time.Millisecond, "greatest age of a load report")
	f.DurationVar(&e.CacheEventDelay, "cache-lag", 500*time.Millisecond, "age at which a cache event is published")
	f.Uint64Var(&e.CacheEventLossInterval, "cache-gap", 10, "each so many cache events one is lost; 0 loses none")
	return cmd
}

// serviceCommand returns the command that runs an order and stock service.
func (p *Program) serviceCommand() *cobra.Command {
	s := &service.Service{}
	var listen string
	cmd := &cobra.Command{
		Use:     "service",
		Short:   "Runs an order and stock service",
		Example: "  standin service --name s1 --listen 127.0.0.1:8101",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := netip.ParseAddrPort(listen)
			if err != nil {
				return errors.WithStack(err)
			}
			s.Listen, s.Log = address, p.newLogger()
			return s.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&s.Name, "name", "service", "name of the backend server")
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8101", "IP number and port")
	return cmd
}

// platformCommand returns the command that runs the platform's key-value service and host list.
func (p *Program) platformCommand() *cobra.Command {
	s := &platform.Server{}
	var listen, hostsFile string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Runs the platform's key-value service and host list",
		Example: "  standin platform --listen 127.0.0.1:6000 --hosts hosts.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			hostList, err := readHosts(hostsFile)
			if err != nil {
				return err
			}
			s.Log = p.newLogger()
			s.SetHosts(hostList)
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return errors.WithStack(err)
			}
			return s.Run(cmd.Context(), l)
		},
	}
	f := cmd.Flags()
	f.StringVar(&listen, "listen", "127.0.0.1:6000", "IP number and port")
	f.StringVar(&hostsFile, "hosts", "", "file with the list of hosts as JSON")
	f.Float64Var(&s.WritesPerSecond, "writes-per-second", 400, "writes above this are refused")
	f.Float64Var(&s.ReadsPerSecond, "reads-per-second", 2000, "reads above this are refused")
	return cmd
}

// demoCommand returns the command that sends the demo's requests.
func (p *Program) demoCommand() *cobra.Command {
	d := &demo.Demo{Out: p.Out}
	cmd := &cobra.Command{
		Use:     "demo",
		Short:   "Sends the demo's requests and prints what came of them",
		Example: "  standin demo --entry http://127.0.0.1:18081 --entry http://127.0.0.1:18082 --service http://127.0.0.1:18301",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return d.Run(cmd.Context()) },
	}
	f := cmd.Flags()
	f.StringSliceVar(&d.EntryURLs, "entry", nil, "callers' listeners of entry hosts")
	f.StringVar(&d.ServiceURL, "service", "", "the order service itself, to count what ran")
	f.StringVar(&d.Model, "model", "tender-1", "model")
	f.StringVar(&d.Workspace, "workspace", "fundiquote", "workspace")
	return cmd
}

// loadCommand returns the command that sends a mix of requests. The command fails if any response is faulty.
func (p *Program) loadCommand() *cobra.Command {
	l := &load.Load{}
	cmd := &cobra.Command{
		Use:     "load",
		Short:   "Sends a mix of requests at a rate, checks each answer and prints what came of them",
		Example: "  standin load --entry http://127.0.0.1:18081 --rate 50 --duration 10s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			summary, err := l.Run(cmd.Context())
			if err != nil {
				return err
			}
			if err := summary.Write(p.Out); err != nil {
				return err
			}
			if n := summary.FaultCount(); n > 0 {
				return errors.Errorf("%d answers were not as they must be", n)
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&l.EntryURLs, "entry", nil, "callers' listeners of entry hosts")
	f.StringSliceVar(&l.OperatorURLs, "readiness", nil, "operators' listeners of the entry hosts, in their order")
	f.StringVar(&l.Model, "model", "tender-1", "model")
	f.StringSliceVar(&l.Workspaces, "workspace", []string{"fundiquote"}, "workspaces")
	f.Float64Var(&l.Rate, "rate", 20, "requests per second")
	f.DurationVar(&l.Duration, "duration", 10*time.Second, "how long requests are sent")
	f.Int64Var(&l.MaxPromptTokens, "max-tokens", 300_000, "most tokens of a prompt")
	f.Int64Var(&l.MaxOutputTokens, "output-tokens", 64, "most tokens of an answer")
	f.DurationVar(&l.OrderDeadline, "order-deadline", 10*time.Second, "of orders")
	f.Uint64Var(&l.Seed, "seed", 1, "of the random requests")
	return cmd
}
