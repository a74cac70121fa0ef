package cli

import (
	"fmt"
	"log/slog"

	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/host"
	"github.com/turmericshunt/turmericshunt/internal/settings"
)

const defaultSettingsFile = "turmericshunt.jsonc"

func (p *Program) serveCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Runs an entry host until it is told to stop",
		Long: `Runs an entry host. At SIGTERM or SIGINT it takes no new requests, hands its roles over, finishes
all streams and exits with 0.`,
		Example: "  turmericshunt serve --settings e1.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return &Error{Op: "settings", Kind: KindInvalid, Err: err}
			}
			h := &host.Host{Settings: s, Version: p.Version, Log: p.newLogger(s.Log)}
			if err := h.Run(cmd.Context()); err != nil {
				return &Error{Op: "serve", Kind: KindFailed, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "settings", defaultSettingsFile, "file with the settings of this host")
	return cmd
}

// newLogger returns a logger that writes to p.Err in the format and from the level on that the settings name.
func (p *Program) newLogger(s settings.Log) *slog.Logger {
	options := &slog.HandlerOptions{Level: s.Level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(p.Err, options))
	}
	return slog.New(slog.NewTextHandler(p.Err, options))
}

func (p *Program) checkCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "check",
		Short:   "Checks a settings file without starting",
		Example: "  turmericshunt check --settings e1.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return &Error{Op: "settings", Kind: KindInvalid, Err: err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: settings of host %s in failure domain %s are valid\n",
				file, s.Host.Name, s.Host.FailureDomain)
			return nil
		},
	}
	cmd.Flags().StringVar(&file, "settings", defaultSettingsFile, "file with the settings to check")
	return cmd
}
