package cli

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/explain"
)

func (p *Program) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST_ID LOGFILE...",
		Short: "Prints a request's way through the logs of entry hosts, and the cause of its end",
		Long: `Prints what the logs of entry hosts on the users' platform say about one request, in order, with the
changes of state about hosts and replicas on its way, and sums up why it ended as it did.`,
		Example: "  turmericshunt explain 9c41d07be2a35f68 front-1.log front-2.log",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			log := &explain.Log{}
			for _, name := range args[1:] {
				if err := readLog(log, name); err != nil {
					return &Error{Op: "explain", Kind: KindFailed, Err: err}
				}
			}
			trace := log.Trace(args[0])
			if len(trace) == 0 {
				return &Error{Op: "explain", Kind: KindFailed, Err: errors.Errorf("no line names request %s", args[0])}
			}
			for i := range trace {
				fmt.Fprintln(cmd.OutOrStdout(), trace[i].String())
			}
			fmt.Fprintln(cmd.OutOrStdout(), "cause:", explain.Cause(trace))
			return nil
		},
	}
}

// readLog adds the lines of the named file to log. Lines in other formats are skipped.
func readLog(log *explain.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	_, err = log.Read(f)
	return err
}
