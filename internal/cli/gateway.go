package cli

import (
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/dialer"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/gateway"
	"github.com/turmericshunt/turmericshunt/platform"
)

func (p *Program) gatewayCommand() *cobra.Command {
	var file string
	var checkOnly bool
	var crossingPrice float64
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Runs an entry host on the users' platform until it is told to stop",
		Long: `Runs an entry host on the users' platform. At SIGTERM it takes no new connections, finishes the
requests under way and exits with 0. Logs go to standard output as JSON lines.`,
		Example: "  turmericshunt gateway --settings /etc/turmericshunt/settings.toml",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// An unhandled SIGHUP ends the process, so it is handled before anything else.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			defer signal.Stop(hangups)
			if file == "" {
				file = p.Getenv(platform.SettingsVariable)
			}
			if !(crossingPrice >= 0) || math.IsInf(crossingPrice, 1) {
				return &Error{Op: "gateway", Kind: KindUsage, Err: errors.Errorf("--crossing-price %v is not a price", crossingPrice)}
			}
			s, err := platform.LoadSettings(file)
			if err != nil {
				return &Error{Op: "gateway", Kind: KindInvalid, Err: err}
			}
			if checkOnly {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of host %s in failure domain %s are valid\n", file, s.Host,
					s.FailureDomain)
				return nil
			}
			log := eventlog.New(os.Stdout, s.Host)
			defer log.Close()
			store := platform.NewStore(s.StoreAddress, logInvalidEntry(log))
			store.ReadsEvacuations = s.EvacuationTime > 0
			replicas := &dialer.Dialer{Connect: p.ConnectReplica, ConnectHost: p.ConnectHost}
			g := &gateway.Gateway{
				Settings:            s,
				Store:               store,
				Memory:              platform.NewMemory(replicas),
				Dialer:              replicas,
				HeaderCodec:         platform.HeaderCodec{},
				DecodeConfiguration: platform.DecodeConfiguration,
				Log:                 log,
				Version:             p.Version,
				CrossingPrice:       crossingPrice,
				WatchSettings:       (&settingsWatcher{path: file, log: log, hangups: hangups}).run,
			}
			if err := g.Run(cmd.Context()); err != nil {
				return &Error{Op: "gateway", Kind: KindFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file; by default the one that $"+platform.SettingsVariable+" names")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	cmd.Flags().Float64Var(&crossingPrice, "crossing-price", 0,
		"value of a request per GB that crosses between failure domains; 0 for no preference among them")
	cmd.AddCommand(p.gatewayStatusCommand(), p.checkConfigCommand())
	return cmd
}

// logInvalidEntry returns a callback that logs a store entry that can't be decoded.
func logInvalidEntry(log *eventlog.Log) func(err error) {
	return func(err error) { log.Warn("store_entry_invalid", slog.String("error", err.Error())) }
}
