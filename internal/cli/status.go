package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
)

func (p *Program) statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Prints what a host believes about itself, the other hosts and the backend servers",
		Example: "  turmericshunt status --address http://127.0.0.1:9000",
		Args:    cobra.NoArgs,
	}
	c := p.connectionFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		client, err := c.client()
		if err != nil {
			return err
		}
		s, err := client.Status(cmd.Context())
		if err != nil {
			return callError("status", err)
		}
		return c.print(cmd.OutOrStdout(), s, func(w io.Writer) { printStatus(w, &s) })
	}
	return cmd
}

func printStatus(w io.Writer, s *adminapi.Status) {
	fmt.Fprintf(w, "host %s\tfailure domain %s\tready %t\tedge %t\trequests %d\trevision %d\n\n",
		s.Host, s.FailureDomain, s.Ready, s.Edge, s.ActiveRequests, s.Configuration.Revision)
	fmt.Fprintln(w, "HOST\tFAILURE DOMAIN\tADDRESS\tSTATE")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Host, m.FailureDomain, m.Address, m.State)
	}
	fmt.Fprintln(w, "\nBACKEND SERVER\tFAILURE DOMAIN\tSCHEDULER\tMODELS\tWAIT MS\tFREE BYTES\tRUNNING\tSTATE")
	for _, b := range s.BackendServers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", b.Name, b.FailureDomain, b.Scheduler,
			strings.Join(b.Models, ","), b.WaitMS, b.FreeBytes, b.Running, serverState(s.FailureDomain, b))
	}
}

// serverState returns the text of the STATE column. ownDomain is the failure domain of the host that reported: without
// a row of a backend server's scheduler, it says whether the server is of another failure domain or a row is missing.
func serverState(ownDomain string, b adminapi.BackendServer) string {
	switch {
	case b.Unhealthy:
		return "unhealthy"
	case b.Leaving:
		return "leaving"
	case b.AgeMS < 0 && b.FailureDomain != ownDomain:
		return "not followed here"
	case b.AgeMS < 0:
		return "no report"
	case b.ForLongPrompts:
		return "long prompts"
	default:
		return "ok"
	}
}
