package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Kind classifies an Error and determines the exit code of the program.
type Kind string

// The kinds of errors of this package.
const (
	KindUsage   Kind = "usage"   // wrong arguments or flags, or a section or key file that can't be read
	KindInvalid Kind = "invalid" // wrong settings or a wrong section
	KindRefused Kind = "refused" // the host refused the call
	KindFailed  Kind = "failed"  // the host or a call failed
	KindLagging Kind = "lagging" // the change was accepted, but is not known to be active on each live host
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the host or a call failed
	ExitUsage   = 2 // wrong arguments
	ExitInvalid = 3 // wrong settings or a wrong section
	ExitRefused = 4 // the change was refused
	ExitLagging = 5 // the change was accepted, but not active on each live host within the time of --wait
)

const exitCodesHelp = `
Exit codes:
  0  done
  1  the host or a call failed, or it is unknown whether a change was accepted
  2  wrong arguments
  3  wrong settings or a wrong section
  4  the change was refused
  5  accepted, yet not in force on each host within the time
`

// Error is the failure of a command.
type Error struct {
	Op   string // operation that failed, such as "apply services"
	Kind Kind
	Err  error // cause; never nil
}

// Error returns the operation and the cause. The text of the cause may have several lines, such as a diff.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Program is the command line program with its environment.
type Program struct {
	Version string              // version that "version" prints and that hosts report
	Out     io.Writer           // standard output
	Err     io.Writer           // standard error
	Getenv  func(string) string // returns the value of an environment variable, "" if it is not set
	Stdin   io.Reader           // nil means os.Stdin
	// ConnectReplica opens the TCP connections of "gateway" to replicas; nil means package net.
	ConnectReplica func(ctx context.Context, address netip.AddrPort) (*net.TCPConn, error)
	// ConnectHost opens those to other hosts; nil means package net.
	ConnectHost func(ctx context.Context, address netip.AddrPort) (*net.TCPConn, error)

	retryDelay time.Duration // shortened by tests; 0 means defaultRetryDelay
}

// Run executes the command that args name, without the program's own name, and returns the exit code. SIGINT and
// SIGTERM cancel the context of the command. A failure is printed to p.Err.
func (p *Program) Run(ctx context.Context, args []string) int {
	root := p.rootCommand()
	root.SetArgs(args)
	root.SetOut(p.Out)
	root.SetErr(p.Err)
	root.SetIn(p.Stdin)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(p.Err, "turmericshunt:", err)
	return exitCode(err)
}

// exitCode returns the exit code for the error of a command. Errors of other types come from cobra, which rejects wrong
// arguments and flags with them.
func exitCode(err error) int {
	var failure *Error
	if !errors.As(err, &failure) {
		return ExitUsage
	}
	switch failure.Kind {
	case KindUsage:
		return ExitUsage
	case KindInvalid:
		return ExitInvalid
	case KindRefused:
		return ExitRefused
	case KindLagging:
		return ExitLagging
	default:
		return ExitFailed
	}
}

func (p *Program) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "turmericshunt",
		Short: "Serves language model prompts of very unlike lengths",
		Long: `turmericshunt is the entry host in front of model engines and plain services, and the
command line of its operators.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetHelpTemplate(root.HelpTemplate() + exitCodesHelp)
	root.AddCommand(p.serveCommand(), p.gatewayCommand(), p.explainCommand(),
		p.checkCommand(), p.versionCommand(), p.configCommand(), p.statusCommand())
	return root
}

func (p *Program) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Prints the version",
		Example: "  turmericshunt version",
		Args:    cobra.NoArgs,
		Run:     func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "turmericshunt", p.Version) },
	}
}
