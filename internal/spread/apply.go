package spread

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/wait"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// ApplyTimeout limits the duration of Apply.
const ApplyTimeout = 20 * time.Second

type (
	// Change is a new body for one section.
	Change struct {
		ID      string // if empty, Apply generates one; repeating a change with the same ID is idempotent
		Section document.Section
		Body    []byte // JSON with comments
		Base    uint64 // revision of the section that the author edited; 0 if the section was absent
		Author  string
		Reason  string
	}

	// AcceptedChange identifies an accepted change.
	AcceptedChange struct {
		ID       string
		Revision uint64 // revision of the manifest that contains the change first
	}
)

// Apply writes a change to the platform's store and returns when it is accepted or refused, when ctx ends or after
// ApplyTimeout. An accepted change is activated on this host.
//
// It returns an *Error if the change was not accepted or its outcome is unknown. KindUnknown means that the change may
// have been accepted; repeating it with the same ID determines the outcome.
func (ac *ActiveConfig) Apply(ctx context.Context, change Change) (AcceptedChange, error) {
	ctx, cancel := context.WithTimeout(platform.WithPriority(ctx, platform.PriorityConfig), ApplyTimeout)
	defer cancel()
	body, err := document.ParseSection(change.Section, change.Body)
	if err == nil && len(body) > platformapi.MaxValueBytes {
		err = errors.Errorf("the section has %d bytes, at most %d are allowed", len(body), platformapi.MaxValueBytes)
	}
	if err != nil {
		return AcceptedChange{}, &Error{Op: "apply", Kind: KindRefused, Err: err}
	}
	if change.ID == "" {
		change.ID = newChangeID()
	}
	a := &manifest.Acceptance{
		Proposal: manifest.Proposal{Body: body, Base: change.Base, Change: manifest.Change{
			ID: change.ID, Author: change.Author, Reason: change.Reason, Time: ac.Now().UTC(), Section: change.Section,
		}},
		MinRevision: ac.Version().Revision,
	}
	return ac.driveAcceptance(ctx, a)
}

// Performs the actions of a until it accepts or refuses the change, and stops it when ctx ends.
func (ac *ActiveConfig) driveAcceptance(ctx context.Context, a *manifest.Acceptance) (AcceptedChange, error) {
	pause := newBackoff()
	action := a.Start()
	for {
		switch action.Kind {
		case manifest.ActionAccepted:
			return ac.activateAccepted(ctx, a, action)
		case manifest.ActionRefused:
			return AcceptedChange{ID: a.Proposal.Change.ID},
				&Error{Op: "apply", Kind: applyErrorKind(action.Err), Err: action.Err}
		}
		event := ac.perform(ctx, action, pause)
		action = a.Next(event)
		unanswered := event.Kind == manifest.EventUnknown || event.Kind == manifest.EventUnavailable
		if unanswered && ctx.Err() != nil && action.Kind != manifest.ActionRefused {
			action = a.Next(manifest.Event{Kind: manifest.EventTimeout})
		}
	}
}

// Activates the accepted manifest on this host; other hosts get it from their watch or from this host. A failure is
// only logged, since the change is accepted all the same.
func (ac *ActiveConfig) activateAccepted(ctx context.Context, a *manifest.Acceptance,
	action manifest.Action,
) (AcceptedChange, error) {
	ac.Metrics.Counter("config_changes_accepted").Inc(1)
	result := AcceptedChange{ID: a.Proposal.Change.ID, Revision: action.Revision}
	missing := slices.DeleteFunc(ac.missingSections(action.Manifest), func(s manifest.SectionVersion) bool {
		return s.Digest == a.Proposal.Change.After
	})
	bodies, err := ac.readBodies(ctx, missing)
	texts := [][]byte{a.Proposal.Body}
	for _, b := range bodies {
		texts = append(texts, b.Text)
	}
	if err == nil {
		_, err = ac.activateIfNewer(action.Manifest, texts, SourceLocal)
	}
	if err != nil {
		ac.Log.Warn("accepted configuration could not be activated on this host yet", "revision", action.Revision,
			"error", err)
	}
	return result, nil
}

// Performs one action of an Acceptance and returns its result, after a pause if the action is repeated.
func (ac *ActiveConfig) perform(ctx context.Context, action manifest.Action,
	pause *backoff.ExponentialBackOff,
) manifest.Event {
	if action.IsRetry {
		wait.For(ctx, pause.NextBackOff())
	} else {
		pause.Reset()
	}
	switch action.Kind {
	case manifest.ActionRead:
		m, revision, err := ac.readManifest(ctx)
		return eventOf(manifest.Event{Kind: manifest.EventManifest, Manifest: m, StoreRevision: revision}, err)
	case manifest.ActionReadBodies:
		bodies, err := ac.readBodies(ctx, action.Sections)
		return eventOf(manifest.Event{Kind: manifest.EventBodies, Bodies: bodies}, err)
	default:
		_, err := ac.Store.CompareAndSwap(ctx, action.Key, action.Value, action.StoreRevision, "")
		return eventOf(manifest.Event{Kind: manifest.EventWritten}, err)
	}
}

// Returns the event that reports the result of a call to the store: ok if err is nil, otherwise one that depends on
// the kind of err.
func eventOf(ok manifest.Event, err error) manifest.Event {
	switch {
	case err == nil:
		return ok
	case platform.KindOf(err) == platform.KindConflict:
		return manifest.Event{Kind: manifest.EventConflict}
	case platform.KindOf(err) == platform.KindOutcomeUnknown:
		return manifest.Event{Kind: manifest.EventUnknown}
	default:
		return manifest.Event{Kind: manifest.EventUnavailable, Err: err}
	}
}

// Returns the kind of the error with which Apply reports the refusal err.
func applyErrorKind(err error) Kind {
	var e *manifest.Error
	if !errors.As(err, &e) {
		return KindRefused
	}
	switch e.Kind {
	case manifest.KindUnknown:
		return KindUnknown
	case manifest.KindUnavailable, manifest.KindStale:
		return KindUnavailable
	default:
		return KindRefused
	}
}
