package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
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
