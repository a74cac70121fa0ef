package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
	"github.com/turmericshunt/turmericshunt/pkg/adminclient"
)

const (
	defaultWait  = 10 * time.Second
	waitInterval = 200 * time.Millisecond
	defaultPause = 200 * time.Millisecond // after the first sending of a change that had no answer
	maxSendings  = 5
)

// What apply prints with --output json; Hosts is 0 when it did not wait.
type applied struct {
	ID       string   `json:"id"`
	Revision uint64   `json:"revision"`
	Hosts    int      `json:"hosts"`
	Lagging  []string `json:"lagging"`
}

func (c *connection) applyCommand() *cobra.Command {
	var change adminapi.Change
	var wait time.Duration
	var base int64
	cmd := &cobra.Command{
		Use:   "apply section file",
		Short: "Changes a section and may wait until the change is in force on each host",
		Long: `Changes a section. The change is refused, with the difference, if another change of the same
section came after the revision that the file started from: the one in its first line, which
"config get" writes, or --base. A section that is not there yet needs neither.
A change without an answer is sent again under the same id, which never changes the section twice.
With --wait it ends when each live host has the change in force, and otherwise names those that lag.`,
		Example: "  turmericshunt config apply workspaces workspaces.jsonc --reason 'new customer' --wait 10s",
		Args:    cobra.ExactArgs(2),

		ValidArgsFunction: completeSection,
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			text, _, err := readSection(cmd.InOrStdin(), args[0], args[1])
			if err != nil {
				return err
			}
			change.Body = string(text)
			if err := setBase(cmd.Context(), client, args[0], base, &change); err != nil {
				return err
			}
			accepted, err := c.submit(cmd.Context(), client, args[0], change)
			if err != nil {
				return err
			}
			return c.await(cmd, client, accepted, wait)
		},
	}
	f := cmd.Flags()
	f.StringVar(&change.Reason, "reason", "", "why, for the audit trail (required)")
	f.StringVar(&change.ID, "id", "", "id of the change, made when absent; repeating a change with its id is harmless")
	f.Int64Var(&base, "base", -1, "revision of the section that the file started from; -1 takes it from the file's first line")
	f.DurationVar(&wait, "wait", defaultWait, "how long to wait until it is in force on each host; 0 does not wait")
	_ = cmd.MarkFlagRequired("reason")
	return cmd
}

// Finds the revision that a change is based on. The one in force is never taken for it, since another team's change may
// have come after the file was written.
func setBase(ctx context.Context, client *adminclient.Client, section string, base int64, change *adminapi.Change) error {
	if base >= 0 {
		change.Base = uint64(base)
		return nil
	}
	if named, revision, ok := document.Base([]byte(change.Body)); ok && string(named) == section {
		change.Base = revision
		return nil
	}
	current, err := client.Section(ctx, section)
	if err != nil {
		return callError("apply "+section, err)
	}
	if current.Revision != 0 {
		return &Error{Op: "apply " + section, Kind: KindUsage, Err: errors.New(
			"the file does not tell which revision it started from; begin with \"config get\", or give --base")}
	}
	return nil
}

// Sends change under one id until the host tells what became of it, or a few times at most.
func (c *connection) submit(ctx context.Context, client *adminclient.Client, section string, change adminapi.Change) (adminapi.Accepted, error) {
	if change.ID == "" {
		change.ID = strings.ToLower(rand.Text())
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = c.pause
	mayBeAccepted := false
	for sendings := 1; ; sendings++ {
		accepted, err := client.Apply(ctx, section, change)
		if err == nil || settled(err) {
			return accepted, callError("apply "+section, err)
		}
		mayBeAccepted = mayBeAccepted || unanswered(err)
		if sendings == maxSendings || !sleep(ctx, pause.NextBackOff()) {
			return adminapi.Accepted{}, unsettledError(section, change, mayBeAccepted, err)
		}
	}
}

// Reports whether the host refused the change for good.
func settled(err error) bool {
	var call *adminclient.Error
	return errors.As(err, &call) && call.Kind == adminclient.KindRefused && call.Status < http.StatusInternalServerError
}

// Reports whether the change may be accepted in spite of err.
func unanswered(err error) bool {
	var call *adminclient.Error
	if errors.As(err, &call) && call.Kind == adminclient.KindRefused {
		return call.Failure.Kind != string(manifest.KindUnavailable) && call.Failure.Kind != string(manifest.KindStale)
	}
	var connecting *net.OpError
	return !errors.As(err, &connecting) || connecting.Op != "dial"
}

func unsettledError(section string, change adminapi.Change, mayBeAccepted bool, err error) error {
	if !mayBeAccepted {
		return callError("apply "+section, err)
	}
	return &Error{Op: "apply " + section, Kind: KindFailed, Err: errors.Errorf(
		"unknown: the change may have been accepted; send it again with --id %s --base %d to find out: %v", change.ID, change.Base, err)}
}

// Waits until each live host has the change in force and prints which ones lag.
func (c *connection) await(cmd *cobra.Command, client *adminclient.Client, accepted adminapi.Accepted, wait time.Duration) error {
	result := applied{ID: accepted.ID, Revision: accepted.Revision, Lagging: []string{}}
	var failure error
	for end := time.Now().Add(wait); wait > 0; {
		versions, err := client.Versions(cmd.Context())
		failure = err
		if err == nil {
			result.Hosts, result.Lagging = len(versions), laggingHosts(versions, accepted.Revision)
		}
		done := err == nil && len(result.Lagging) == 0
		if done || time.Now().After(end) || !sleep(cmd.Context(), waitInterval) {
			break
		}
	}
	err := c.print(cmd.OutOrStdout(), result, func(w io.Writer) { printApplied(w, &result) })
	switch {
	case err != nil:
		return err
	case failure != nil:
		return &Error{Op: "wait", Kind: KindLagging, Err: callError("get versions", failure)}
	case len(result.Lagging) > 0:
		return &Error{Op: "wait", Kind: KindLagging, Err: errors.Errorf("%d hosts lag", len(result.Lagging))}
	}
	return nil
}

func printApplied(w io.Writer, a *applied) {
	fmt.Fprintf(w, "accepted as revision %d (change %s)\n", a.Revision, a.ID)
	if a.Hosts == 0 {
		return
	}
	fmt.Fprintf(w, "in force on %d of %d hosts", a.Hosts-len(a.Lagging), a.Hosts)
	if len(a.Lagging) > 0 {
		fmt.Fprintf(w, "; lagging: %s", strings.Join(a.Lagging, " "))
	}
	fmt.Fprintln(w)
}

func laggingHosts(versions []adminapi.HostVersion, revision uint64) []string {
	names := []string{}
	for _, v := range versions {
		if v.Revision < revision {
			names = append(names, v.Host)
		}
	}
	return names
}

// Reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
