package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/change"
	"github.com/turmericshunt/turmericshunt/internal/jsonc"
	"github.com/turmericshunt/turmericshunt/internal/site"
	"github.com/turmericshunt/turmericshunt/internal/unread"
	"github.com/turmericshunt/turmericshunt/platform"
)

// activeTimeout limits the read of the active version from the store.
const activeTimeout = 5 * time.Second

// checkFlags are the flags of check-config.
type checkFlags struct {
	settings string // settings file of a host
	against  string // file or address of the store
	asJSON   bool
	strict   bool
}

// configurationCheck is the result of check-config.
type configurationCheck struct {
	Version     int64           `json:"version"`
	Findings    []configFinding `json:"findings"`
	NotRead     []string        `json:"not_read"`              // paths of the fields that the program doesn't read
	Differences []change.Change `json:"differences,omitempty"` // from the active version, if that is known

	config   *catalog.Configuration
	compared bool // Differences is known
}

// configFinding is something that can't have been meant, and its position.
type configFinding struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

func (p *Program) checkConfigCommand() *cobra.Command {
	var flags checkFlags
	cmd := &cobra.Command{
		Use:   "check-config FILE",
		Short: "Checks a configuration document of the platform and prints what would be in force",
		Long: `Checks a configuration document of the platform as it stands in the store. Prints the routes and
services that would be in force, the fields that are not read, entries that never match and limits that
contradict each other. With --settings it also compares the document with the limits of a host, with
--against it prints what differs from the active version.

Exit codes: 0 the document can be applied, 1 a file or the store can't be read, 3 the document can't be
applied, 4 with --strict: it can be applied, but has warnings.`,
		Example: `  turmericshunt gateway check-config configuration.json
  turmericshunt gateway check-config --settings settings.toml --against 10.200.1.7:8223 --strict configuration.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			check, err := checkConfiguration(cmd.Context(), args[0], &flags)
			if err != nil {
				return err
			}
			if err := check.print(cmd.OutOrStdout(), flags.asJSON); err != nil {
				return err
			}
			if flags.strict && len(check.Findings) > 0 {
				err := errors.Errorf("%s: %d warnings", args[0], len(check.Findings))
				return &Error{Op: "check-config", Kind: KindRefused, Err: err}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&flags.settings, "settings", "", "settings file of a host, whose limits the document must fit")
	cmd.Flags().StringVar(&flags.against, "against", "", "active version: a file, or the address of the store")
	cmd.Flags().BoolVar(&flags.asJSON, "json", false, "print the result as JSON")
	cmd.Flags().BoolVar(&flags.strict, "strict", false, "exit with 4 if there are warnings")
	return cmd
}

// checkConfiguration checks the configuration document in a file. It returns an *Error if the document can't be applied or
// anything can't be read.
func checkConfiguration(ctx context.Context, file string, flags *checkFlags) (*configurationCheck, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "check-config", Kind: KindFailed, Err: err}
	}
	var settings *site.Settings
	if flags.settings != "" {
		if settings, err = platform.LoadSettings(flags.settings); err != nil {
			return nil, &Error{Op: "check-config", Kind: KindFailed, Err: err}
		}
	}
	check, err := inspectConfiguration(data, settings)
	if err != nil {
		return nil, &Error{Op: "check-config", Kind: KindInvalid, Err: errors.Wrap(err, file)}
	}
	if flags.against != "" {
		if check.Differences, err = differences(ctx, flags.against, data); err != nil {
			return nil, &Error{Op: "check-config", Kind: KindFailed, Err: errors.Wrap(err, flags.against)}
		}
		check.compared = true
	}
	return check, nil
}

// inspectConfiguration decodes a configuration document and looks for what can't have been meant.
func inspectConfiguration(data []byte, settings *site.Settings) (*configurationCheck, error) {
	document, err := platform.DecodeForCheck(data)
	if err != nil {
		return nil, err
	}
	config, err := platform.DecodeConfiguration(data)
	if err != nil {
		return nil, err
	}
	recognized, err := platform.RecognizedConfiguration(data)
	if err != nil {
		return nil, err
	}
	ignored, err := unread.Find(data, recognized)
	if err != nil {
		return nil, err
	}
	text, err := jsonc.Parse(data)
	if err != nil {
		return nil, err
	}
	check := &configurationCheck{Version: config.Version, NotRead: ignored, Findings: []configFinding{}, config: config}
	for _, f := range document.Findings(settings) {
		at := text.FieldError(platform.FindingPath(f), errors.New(f.Message))
		check.Findings = append(check.Findings,
			configFinding{Line: at.Line, Column: at.Column, Path: at.Path, Message: f.Message})
	}
	return check, nil
}

// differences returns what differs between the active version, in a file or in the store at an address, and the document.
// Keys of workspaces are shown as digests.
func differences(ctx context.Context, against string, data []byte) ([]change.Change, error) {
	active, err := activeConfiguration(ctx, against)
	if err != nil {
		return nil, err
	}
	if active, err = platform.HideKeys(active); err != nil {
		return nil, err
	}
	if data, err = platform.HideKeys(data); err != nil {
		return nil, err
	}
	return change.Find(active, data)
}

// activeConfiguration reads the active version from the store if against is an address, and from a file otherwise.
func activeConfiguration(ctx context.Context, against string) ([]byte, error) {
	address, err := netip.ParseAddrPort(against)
	if err != nil {
		return os.ReadFile(against)
	}
	ctx, cancel := context.WithTimeout(ctx, activeTimeout)
	defer cancel()
	document, _, err := platform.NewStore(address, func(error) {}).Configuration(ctx)
	return document.Data, err
}

// print writes the result as a table for operators or as JSON.
func (c *configurationCheck) print(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(c)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "version %d\n", c.Version)
	for _, r := range c.config.Routes() {
		fmt.Fprintf(t, "route\t%s\t%s%s\t%s\tlimit %v\tfirst event %v\t%s\n", r.Name, r.Host, r.Prefix, sharesText(r), r.Timeout,
			r.FirstTarget, retryModeText(r.RetryMode))
	}
	for _, field := range c.NotRead {
		fmt.Fprintf(t, "not read\t%s\n", field)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, f := range c.Findings {
		fmt.Fprintf(w, "warning: line %d, column %d: %s: %s\n", f.Line, f.Column, f.Path, f.Message)
	}
	for _, d := range c.Differences {
		fmt.Fprintln(w, d)
	}
	if c.compared && len(c.Differences) == 0 {
		fmt.Fprintln(w, "no difference from the active version")
	}
	return nil
}
