package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/unread"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
	"github.com/turmericshunt/turmericshunt/platform"
)

const hostStatusTimeout = 5 * time.Second

func (p *Program) gatewayStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status METRICS_ADDRESS",
		Short:   "Prints what a running entry host knows: its planner, hosts, replicas and configuration",
		Example: "  turmericshunt gateway status 10.1.0.4:9101",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			address, err := netip.ParseAddrPort(args[0])
			if err != nil {
				return &Error{Op: "gateway status", Kind: KindUsage, Err: err}
			}
			s, err := fetchHostStatus(cmd.Context(), address)
			if err != nil {
				return &Error{Op: "gateway status", Kind: KindFailed, Err: err}
			}
			return s.Print(cmd.OutOrStdout())
		},
	}
}

// fetchHostStatus reads the status of the host whose metrics listener has the given address.
func fetchHostStatus(ctx context.Context, address netip.AddrPort) (*hoststatus.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, hostStatusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answers %s", address, response.Status)
	}
	s := &hoststatus.Status{}
	if err := json.NewDecoder(response.Body).Decode(s); err != nil {
		return nil, errors.Wrap(err, "decode status")
	}
	return s, nil
}

func (p *Program) checkConfigCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Checks a configuration document of the platform and prints what would be in force",
		Long: `Checks a configuration document of the platform as it stands in the store. Prints the routes and
services that would be in force, the fields that are not read, and routes to services that the document lacks.`,
		Example: "  turmericshunt gateway check-config configuration.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return &Error{Op: "check-config", Kind: KindFailed, Err: err}
			}
			config, ignored, err := checkConfiguration(data)
			if err != nil {
				return &Error{Op: "check-config", Kind: KindInvalid, Err: errors.Wrap(err, args[0])}
			}
			return printConfiguration(cmd.OutOrStdout(), config, ignored)
		},
	}
}

// checkConfiguration decodes a configuration document. It also returns the paths of the fields that the program
// ignores.
func checkConfiguration(data []byte) (*catalog.Configuration, []string, error) {
	config, err := platform.DecodeConfiguration(data)
	if err != nil {
		return nil, nil, err
	}
	recognized, err := platform.RecognizedConfiguration(data)
	if err != nil {
		return nil, nil, err
	}
	ignored, err := unread.Find(data, recognized)
	return config, ignored, err
}

// printConfiguration prints the routes, a warning for each route without services or with a service that the document
// lacks, and the ignored fields.
func printConfiguration(w io.Writer, config *catalog.Configuration, ignored []string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "version %d\n", config.Version)
	for _, r := range config.Routes() {
		fmt.Fprintf(t, "route\t%s\t%s%s\t%s\tlimit %v\tfirst event %v\t%s\n", r.Name, r.Host, r.Prefix, sharesText(r), r.Timeout,
			r.FirstTarget, retryModeText(r.RetryMode))
		for _, s := range r.Shares {
			if config.Service(s.Service) == nil {
				fmt.Fprintf(t, "warning\t%s\tservice %q is not in the document\n", r.Name, s.Service)
			}
		}
		if len(r.Shares) == 0 {
			fmt.Fprintf(t, "warning\t%s\tnames no service\n", r.Name)
		}
	}
	for _, field := range ignored {
		fmt.Fprintf(t, "not read\t%s\n", field)
	}
	return t.Flush()
}

// sharesText lists the services of a route, with their weights if there are several.
func sharesText(r *catalog.Route) string {
	text := ""
	for i, s := range r.Shares {
		if i > 0 {
			text += ", "
		}
		text += s.Service
		if len(r.Shares) > 1 {
			text += fmt.Sprintf(" %g", s.Weight)
		}
	}
	return text
}

func retryModeText(r call.RetryMode) string {
	switch r {
	case call.RetryFromStart:
		return "may be repeated"
	case call.RetryResume:
		return "may be resumed"
	default:
		return "runs once at most"
	}
}
