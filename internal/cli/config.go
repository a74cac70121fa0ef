package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/pkg/adminclient"
)

const shortDigestLength = 12 // hexadecimal digits of a digest that tables print

func (p *Program) configCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		Short: "Reads and changes the configuration",
		Long: `Reads and changes the configuration document. Each section (models, workspaces, non_idempotent,
services, engines, scheduling) is changed on its own; the whole document is checked at each change.`,
	}
	c := p.connectionFlags(cmd)
	cmd.AddCommand(c.getCommand(), c.diffCommand(), c.applyCommand(), c.historyCommand(), c.configStatusCommand())
	return cmd
}

func (c *connection) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "get [section]",
		Short:   "Prints a section in force, or the revisions of all",
		Example: "  turmericshunt config get\n  turmericshunt config get workspaces > workspaces.jsonc",
		Args:    cobra.MaximumNArgs(1),

		ValidArgsFunction: completeSection,
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
			return c.print(cmd.OutOrStdout(), section, func(w io.Writer) {
				fmt.Fprintln(w, document.Header(document.Section(section.Section), section.Revision))
				fmt.Fprintln(w, section.Body)
			})
		},
	}
}

// printSections prints the revision and digest of each section and of the whole configuration.
func (c *connection) printSections(cmd *cobra.Command, client *adminclient.Client) error {
	configuration, err := client.Configuration(cmd.Context())
	if err != nil {
		return callError("get", err)
	}
	return c.print(cmd.OutOrStdout(), configuration, func(w io.Writer) {
		fmt.Fprintln(w, "SECTION\tREVISION\tDIGEST")
		for _, s := range configuration.Sections {
			fmt.Fprintf(w, "%s\t%d\t%s\n", s.Section, s.Revision, abbreviate(s.Digest))
		}
		fmt.Fprintf(w, "(all)\t%d\t%s\n", configuration.Revision, abbreviate(configuration.Digest))
	})
}

func (c *connection) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff section file",
		Short:   "Prints how a file differs from the section in force",
		Example: "  turmericshunt config diff workspaces workspaces.jsonc",
		Args:    cobra.ExactArgs(2),

		ValidArgsFunction: completeSection,
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			_, body, err := readSection(cmd.InOrStdin(), args[0], args[1])
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

// readSection reads a section from a file, or from stdin if file is "-", and checks its fields. It returns its text and
// its canonical JSON.
func readSection(stdin io.Reader, section, file string) (text, body []byte, err error) {
	if file == "-" {
		text, err = io.ReadAll(stdin)
	} else {
		text, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, nil, &Error{Op: "read section", Kind: KindUsage, Err: errors.WithStack(err)}
	}
	body, err = document.ParseSection(document.Section(section), text)
	if err != nil {
		return nil, nil, &Error{Op: file, Kind: KindInvalid, Err: err}
	}
	return text, body, nil
}

// completeSection completes the first argument with the names of the sections and the second one with file names.
func completeSection(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveDefault
	}
	var names []string
	for _, s := range document.Sections() {
		names = append(names, string(s))
	}
	return names, cobra.ShellCompDirectiveNoFileComp
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

func (c *connection) configStatusCommand() *cobra.Command {
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
					fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", v.Host, v.FailureDomain, v.Revision, abbreviate(v.Digest), v.Error)
				}
			})
		},
	}
}

func abbreviate(digest string) string { return digest[:min(len(digest), shortDigestLength)] }
