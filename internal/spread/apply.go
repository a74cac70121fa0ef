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

// ApplyTimeout bounds the time that a change may take.
const ApplyTimeout = 20 * time.Second

type (
	// Change is a new body for one section; Base is the section's revision that the author started from.
	Change struct {
		ID      string // empty makes one; repeating a change with its id is idempotent
		Section document.Section
		Body    []byte // JSON with comments
		Base    uint64 // 0 when the section was absent
		Author  string
		Reason  string
	}

	// Accepted tells that a change was accepted.
	Accepted struct {
		ID       string
		Revision uint64 // of the manifest that brought the change
	}
)

// Apply takes a change through the platform's store until it is accepted or refused, ctx ends or ApplyTimeout is over.
//
// It returns an *Error; KindUnknown means that the change may have been accepted, which repeating it with the
// same ID settles.
func (k *Keeper) Apply(ctx context.Context, change Change) (Accepted, error) {
	ctx, cancel := context.WithTimeout(platform.WithPriority(ctx, platform.PriorityConfig), ApplyTimeout)
	defer cancel()
	body, err := document.ParseSection(change.Section, change.Body)
	if err == nil && len(body) > platformapi.MaxValueBytes {
		err = errors.Errorf("the section has %d bytes, at most %d are allowed", len(body), platformapi.MaxValueBytes)
	}
	if err != nil {
		return Accepted{}, &Error{Op: "apply", Kind: KindRefused, Err: err}
	}
	if change.ID == "" {
		change.ID = newChangeID()
	}
	a := &manifest.Acceptance{
		Proposal: manifest.Proposal{Body: body, Base: change.Base, Change: manifest.Change{
			ID: change.ID, Author: change.Author, Reason: change.Reason, Time: k.Now().UTC(), Section: change.Section,
		}},
		AtLeast: k.Version().Revision,
	}
	return k.run(ctx, a)
}

func (k *Keeper) run(ctx context.Context, a *manifest.Acceptance) (Accepted, error) {
	pause := newBackoff()
	action := a.Start()
	for {
		switch action.Kind {
		case manifest.ActionAccepted:
			return k.accepted(ctx, a, action)
		case manifest.ActionRefused:
			return Accepted{ID: a.Proposal.Change.ID}, &Error{Op: "apply", Kind: refusalKind(action.Err), Err: action.Err}
		}
		event := k.perform(ctx, action, pause)
		action = a.Next(event)
		unanswered := event.Kind == manifest.EventUnknown || event.Kind == manifest.EventUnavailable
		if unanswered && ctx.Err() != nil && action.Kind != manifest.ActionRefused {
			action = a.Next(manifest.Event{Kind: manifest.EventStop})
		}
	}
}

// Brings the accepted manifest into force here; other hosts get it from the watch or from this host.
func (k *Keeper) accepted(ctx context.Context, a *manifest.Acceptance, action manifest.Action) (Accepted, error) {
	k.Metrics.Counter("config_changes_accepted").Inc(1)
	result := Accepted{ID: a.Proposal.Change.ID, Revision: action.Revision}
	missing := slices.DeleteFunc(k.missing(action.Manifest), func(s manifest.SectionVersion) bool {
		return s.Digest == a.Proposal.Change.After
	})
	bodies, err := k.bodies(ctx, missing)
	texts := [][]byte{a.Proposal.Body}
	for _, b := range bodies {
		texts = append(texts, b.Text)
	}
	if err == nil {
		_, err = k.offer(action.Manifest, texts, SourceLocal)
	}
	if err != nil {
		k.Log.Warn("accepted configuration not yet in force here", "revision", action.Revision, "error", err)
	}
	return result, nil
}

func (k *Keeper) perform(ctx context.Context, action manifest.Action, pause *backoff.ExponentialBackOff) manifest.Event {
	if action.Again {
		wait.For(ctx, pause.NextBackOff())
	} else {
		pause.Reset()
	}
	switch action.Kind {
	case manifest.ActionRead:
		m, revision, err := k.readManifest(ctx)
		return event(manifest.Event{Kind: manifest.EventManifest, Manifest: m, StoreRevision: revision}, err)
	case manifest.ActionReadBodies:
		bodies, err := k.bodies(ctx, action.Sections)
		return event(manifest.Event{Kind: manifest.EventBodies, Bodies: bodies}, err)
	default:
		_, err := k.Store.Swap(ctx, action.Key, action.Value, action.StoreRevision, "")
		return event(manifest.Event{Kind: manifest.EventWritten}, err)
	}
}

// Turns the result of a call into the event that the acceptance takes.
func event(ok manifest.Event, err error) manifest.Event {
	switch {
	case err == nil:
		return ok
	case platform.KindOf(err) == platform.KindConflict:
		return manifest.Event{Kind: manifest.EventConflict}
	case platform.KindOf(err) == platform.KindUnknown:
		return manifest.Event{Kind: manifest.EventUnknown}
	default:
		return manifest.Event{Kind: manifest.EventUnavailable, Err: err}
	}
}

func refusalKind(err error) Kind {
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
