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
	defaultWait       = 10 * time.Second
	waitPollInterval  = 200 * time.Millisecond
	defaultRetryDelay = 200 * time.Millisecond // before the first retry of a change that got no response
	maxAttempts       = 5
)

// applyResult is what apply prints with --output json.
type applyResult struct {
	ID       string   `json:"id"`       // id of the change
	Revision uint64   `json:"revision"` // revision of the whole configuration with the change
	Hosts    int      `json:"hosts"`    // number of live hosts; 0 if apply did not wait or no host list could be read
	Lagging  []string `json:"lagging"`  // live hosts on which the change is not known to be active
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
			return c.waitUntilActive(cmd, client, accepted, wait)
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

// setBase sets the revision that a change is based on: the value of --base, or else the one in the file's first line.
// It never uses the active revision instead, because another team's change may have come after the file was written;
// only a section that does not exist yet needs no base.
func setBase(ctx context.Context, client *adminclient.Client, section string, base int64, change *adminapi.Change) error {
	if base >= 0 {
		change.BaseRevision = uint64(base)
		return nil
	}
	if named, revision, ok := document.ParseHeader([]byte(change.Body)); ok && string(named) == section {
		change.BaseRevision = revision
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

// submit sends the change until the host accepts it or refuses it for good, at most maxAttempts times and until ctx
// ends. All attempts have the same id, so that the change is applied at most once.
func (c *connection) submit(ctx context.Context, client *adminclient.Client, section string, change adminapi.Change) (adminapi.Accepted, error) {
	if change.ID == "" {
		change.ID = strings.ToLower(rand.Text())
	}
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = c.retryDelay
	mayBeAccepted := false
	for attempt := 1; ; attempt++ {
		accepted, err := client.Apply(ctx, section, change)
		if err == nil || refusedForGood(err) {
			return accepted, callError("apply "+section, err)
		}
		mayBeAccepted = mayBeAccepted || acceptancePossible(err)
		if attempt == maxAttempts || !sleep(ctx, backOff.NextBackOff()) {
			return adminapi.Accepted{}, applyError(section, change, mayBeAccepted, err)
		}
	}
}

// refusedForGood reports whether the host refused the change with a 4xx status, so that a retry is pointless.
func refusedForGood(err error) bool {
	var call *adminclient.Error
	return errors.As(err, &call) && call.Kind == adminclient.KindRefused && call.Status < http.StatusInternalServerError
}

// acceptancePossible reports whether the change may have been accepted in spite of err. It has not been if the host
// says that its store is unavailable or stale, or if the connection to the host could not be opened.
func acceptancePossible(err error) bool {
	var call *adminclient.Error
	if errors.As(err, &call) && call.Kind == adminclient.KindRefused {
		return call.Failure.Kind != string(manifest.KindUnavailable) && call.Failure.Kind != string(manifest.KindStale)
	}
	var connecting *net.OpError
	return !errors.As(err, &connecting) || connecting.Op != "dial"
}

// applyError returns the error of a change after its last attempt. If one of the attempts may have been accepted, it
// says how to find out.
func applyError(section string, change adminapi.Change, mayBeAccepted bool, err error) error {
	if !mayBeAccepted {
		return callError("apply "+section, err)
	}
	return &Error{Op: "apply " + section, Kind: KindFailed, Err: errors.Errorf(
		"unknown: the change may have been accepted; send it again with --id %s --base %d to find out: %v", change.ID,
		change.BaseRevision, err)}
}

// waitUntilActive waits until the change is active on each live host, at most for the duration wait, and prints the
// result with the hosts that lag. If wait is 0, it prints only that the change was accepted.
func (c *connection) waitUntilActive(cmd *cobra.Command, client *adminclient.Client, accepted adminapi.Accepted, wait time.Duration) error {
	result := applyResult{ID: accepted.ID, Revision: accepted.Revision, Lagging: []string{}}
	var failure error
	for end := time.Now().Add(wait); wait > 0; {
		versions, err := client.Versions(cmd.Context())
		failure = err
		if err == nil {
			result.Hosts, result.Lagging = len(versions), laggingHosts(versions, accepted.Revision)
		}
		done := err == nil && len(result.Lagging) == 0
		if done || time.Now().After(end) || !sleep(cmd.Context(), waitPollInterval) {
			break
		}
	}
	err := c.print(cmd.OutOrStdout(), result, func(w io.Writer) { printApplyResult(w, &result) })
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

func printApplyResult(w io.Writer, a *applyResult) {
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

// laggingHosts returns the names of the hosts whose active configuration is older than revision. A host that does not
// respond is listed with revision 0 and counts as lagging.
func laggingHosts(versions []adminapi.HostVersion, revision uint64) []string {
	names := []string{}
	for _, v := range versions {
		if v.Revision < revision {
			names = append(names, v.Host)
		}
	}
	return names
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
