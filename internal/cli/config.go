package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
	"github.com/turmericshunt/turmericshunt/pkg/adminclient"
)

const (
	defaultWait  = 10 * time.Second
	waitInterval = 200 * time.Millisecond
	shortDigest  = 12
)

func (p *Program) configCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Reads and changes the configuration",
		Long: `Reads and changes the configuration document. Each section (models, workspaces, non_idempotent,
services, engines, scheduling) is changed on its own; the whole document is checked at each change.`,
	}
	c := p.connectionFlags(cmd)
	cmd.AddCommand(c.getCommand(), c.diffCommand(), c.applyCommand(), c.historyCommand(), c.versionsCommand())
	return cmd
}

func (c *connection) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "get [section]",
		Short:   "Prints a section in force, or the revisions of all",
		Example: "  turmericshunt config get\n  turmericshunt config get workspaces > workspaces.jsonc",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return c.printSections(cmd, client)
			}
			section, err := client.Section(cmd.Context(), args[0])
			if err != nil {
				return callError("get "+args[0], err)
			}
			return c.print(cmd.OutOrStdout(), section, func(w io.Writer) { fmt.Fprintln(w, section.Body) })
		},
	}
}

func (c *connection) printSections(cmd *cobra.Command, client *adminclient.Client) error {
	all, err := client.Configuration(cmd.Context())
	if err != nil {
		return callError("get", err)
	}
	return c.print(cmd.OutOrStdout(), all, func(w io.Writer) {
		fmt.Fprintln(w, "SECTION\tREVISION\tDIGEST")
		for _, s := range all.Sections {
			fmt.Fprintf(w, "%s\t%d\t%s\n", s.Section, s.Revision, short(s.Digest))
		}
		fmt.Fprintf(w, "(all)\t%d\t%s\n", all.Revision, short(all.Digest))
	})
}

func (c *connection) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff section file",
		Short:   "Prints how a file differs from the section in force",
		Example: "  turmericshunt config diff workspaces workspaces.jsonc",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			body, err := readSection(args[0], args[1])
			if err != nil {
				return err
			}
			current, err := client.Section(cmd.Context(), args[0])
			if err != nil {
				return callError("diff "+args[0], err)
			}
			_, err = io.WriteString(cmd.OutOrStdout(), document.Diff([]byte(current.Body), document.Indent(body)))
			return errors.WithStack(err)
		},
	}
}

// Reads a section from a file or standard input, checks its fields and returns its canonical JSON.
func readSection(section, file string) ([]byte, error) {
	text, err := readFile(file)
	if err != nil {
		return nil, err
	}
	body, err := document.ParseSection(document.Section(section), text)
	if err != nil {
		return nil, &Error{Op: file, Kind: KindInvalid, Err: err}
	}
	return body, nil
}

func readFile(file string) ([]byte, error) {
	var text []byte
	var err error
	if file == "-" {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, &Error{Op: "read section", Kind: KindUsage, Err: errors.WithStack(err)}
	}
	return text, nil
}

func (c *connection) applyCommand() *cobra.Command {
	var change adminapi.Change
	var wait time.Duration
	var base int64
	cmd := &cobra.Command{
		Use:   "apply section file",
		Short: "Changes a section and may wait until the change is in force on each host",
		Long: `Changes a section. The change is refused, with the difference, if another change of the same
section came after the revision that it is based on (--base, by default the one now in force).
With --wait it ends when each live host has the change in force, and otherwise names those that lag.`,
		Example: "  turmericshunt config apply workspaces workspaces.jsonc --reason 'new customer' --wait 10s",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			if _, err := readSection(args[0], args[1]); err != nil {
				return err
			}
			text, err := readFile(args[1])
			if err != nil {
				return err
			}
			change.Body = string(text)
			if err := setBase(cmd.Context(), client, args[0], base, &change); err != nil {
				return err
			}
			accepted, err := client.Apply(cmd.Context(), args[0], change)
			if err != nil {
				return callError("apply "+args[0], err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "accepted as revision %d (change %s)\n", accepted.Revision, accepted.ID)
			return c.await(cmd, client, accepted.Revision, wait)
		},
	}
	f := cmd.Flags()
	f.StringVar(&change.Reason, "reason", "", "why, for the audit trail (required)")
	f.StringVar(&change.ID, "id", "", "id of the change; repeating a change with its id is harmless")
	f.Int64Var(&base, "base", -1, "revision of the section that the file started from; -1 means the one in force")
	f.DurationVar(&wait, "wait", defaultWait, "how long to wait until it is in force on each host; 0 does not wait")
	_ = cmd.MarkFlagRequired("reason")
	return cmd
}

func setBase(ctx context.Context, client *adminclient.Client, section string, base int64, change *adminapi.Change) error {
	if base >= 0 {
		change.Base = uint64(base)
		return nil
	}
	current, err := client.Section(ctx, section)
	if err != nil {
		return callError("apply "+section, err)
	}
	change.Base = current.Revision
	return nil
}

// Waits until each live host has the revision in force.
func (c *connection) await(cmd *cobra.Command, client *adminclient.Client, revision uint64, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	for end := time.Now().Add(wait); ; time.Sleep(waitInterval) {
		versions, err := client.Versions(cmd.Context())
		if err != nil {
			return callError("wait", err)
		}
		lagging := laggingHosts(versions, revision)
		if len(lagging) == 0 {
			fmt.Fprintf(cmd.OutOrStdout(), "in force on %d of %d hosts\n", len(versions), len(versions))
			return nil
		}
		if time.Now().After(end) {
			fmt.Fprintf(cmd.OutOrStdout(), "in force on %d of %d hosts; lagging: %v\n", len(versions)-len(lagging), len(versions), lagging)
			return &Error{Op: "wait", Kind: KindLagging, Err: errors.Errorf("%d hosts lag", len(lagging))}
		}
	}
}

func laggingHosts(versions []adminapi.HostVersion, revision uint64) []string {
	var names []string
	for _, v := range versions {
		if v.Revision < revision {
			names = append(names, v.Host)
		}
	}
	return names
}

func (c *connection) historyCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "Prints the accepted changes, the newest first",
		Example: "  turmericshunt config history --limit 5",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			records, err := client.History(cmd.Context(), limit)
			if err != nil {
				return callError("history", err)
			}
			return c.print(cmd.OutOrStdout(), records, func(w io.Writer) {
				for _, r := range records {
					fmt.Fprintf(w, "revision %d\t%s\t%s\t%s\t%s\n%s\n", r.Revision, r.Time.UTC().Format(time.RFC3339), r.Author, r.Section, r.Reason, r.Diff)
				}
			})
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "how many changes")
	return cmd
}

func (c *connection) versionsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Prints which revision each live host has in force",
		Example: "  turmericshunt config status",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			versions, err := client.Versions(cmd.Context())
			if err != nil {
				return callError("status", err)
			}
			return c.print(cmd.OutOrStdout(), versions, func(w io.Writer) {
				fmt.Fprintln(w, "HOST\tFAILURE DOMAIN\tREVISION\tDIGEST\tERROR")
				for _, v := range versions {
					fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", v.Host, v.FailureDomain, v.Revision, short(v.Digest), v.Error)
				}
			})
		},
	}
}

func short(digest string) string { return digest[:min(len(digest), shortDigest)] }
