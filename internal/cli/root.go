package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUsage   Kind = "usage"
	KindInvalid Kind = "invalid"
	KindRefused Kind = "refused"
	KindFailed  Kind = "failed"
	KindLagging Kind = "lagging"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailed  = 1 // the host or a call failed
	ExitUsage   = 2 // wrong arguments
	ExitInvalid = 3 // wrong settings or a wrong section
	ExitRefused = 4 // the change was refused
	ExitLagging = 5 // accepted, yet not in force on each host within the time
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

// Error is a failed command.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the cause in one line.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Program is the command line.
type Program struct {
	Version string
	Out     io.Writer
	Err     io.Writer
	Getenv  func(string) string
	Stdin   io.Reader // nil means os.Stdin

	pause time.Duration // in tests; 0 means the default
}

// Run carries the arguments out and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) int {
	root := p.root()
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

func (p *Program) root() *cobra.Command {
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
