package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	watchWait    = 30 * time.Second      // how long the store may hold a watch open without a change
	retryInitial = 50 * time.Millisecond // first pause of the exponential backoff between calls to the store
	retryMax     = time.Second           // longest pause of that backoff
)

// Watch watches the manifest in the platform's store and activates each newer one, until ctx ends. Edge hosts run it.
// It always returns nil.
func (ac *ActiveConfig) Watch(ctx context.Context) error {
	ctx = platform.WithPriority(ctx, platform.PriorityConfig)
	pause := newBackoff()
	var index uint64
	for ctx.Err() == nil {
		started := time.Now()
		entries, err := ac.Store.Watch(ctx, manifest.Key, index, watchWait)
		if err == nil && len(entries.Entries) > 0 {
			err = ac.activateEncoded(ctx, entries.Entries[0].Value)
		}
		if err != nil {
			ac.Metrics.Counter("config_watch_errors").Inc(1)
			wait.For(ctx, pause.NextBackOff())
			continue
		}
		advanced := entries.Index > index
		index = entries.Index // a lower index means a stale read or a store that was restored
		if advanced || time.Since(started) >= watchWait/2 {
			pause.Reset()
			continue
		}
		wait.For(ctx, pause.NextBackOff())
	}
	return nil
}

// Decodes a manifest that the watch returned and activates it, unless it is no newer than the active one.
func (ac *ActiveConfig) activateEncoded(ctx context.Context, text []byte) error {
	m, err := manifest.Parse(text)
	if err != nil {
		ac.Metrics.Counter("config_offers_refused").Inc(1)
		return err
	}
	return ac.activateManifest(ctx, m)
}

// Activates a manifest that was read from the platform's store, unless it is no newer than the active one.
func (ac *ActiveConfig) activateManifest(ctx context.Context, m manifest.Manifest) error {
	if m.Revision <= ac.Version().Revision {
		return nil
	}
	bodies, err := ac.readBodies(ctx, ac.missingSections(m))
	if err != nil {
		return err
	}
	texts := make([][]byte, len(bodies))
	for i, b := range bodies {
		texts[i] = b.Text
	}
	_, err = ac.activateIfNewer(m, texts, SourceWatch)
	return err
}

// Returns the sections of m whose bodies this host does not have.
func (ac *ActiveConfig) missingSections(m manifest.Manifest) []manifest.SectionVersion {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	return ac.state.Missing(m)
}

// Returns the bodies of sections, from the active configuration where possible and otherwise from the store.
func (ac *ActiveConfig) readBodies(ctx context.Context, sections []manifest.SectionVersion) ([]document.Body, error) {
	bodies := make([]document.Body, 0, len(sections))
	for _, section := range sections {
		text, err := ac.readBody(ctx, section)
		if err != nil {
			return nil, err
		}
		bodies = append(bodies, document.Body{Section: section.Section, Text: text})
	}
	return bodies, nil
}

// Returns the body of one section, from the active configuration or else from the store. A body from the store whose
// digest differs is an error.
func (ac *ActiveConfig) readBody(ctx context.Context, section manifest.SectionVersion) ([]byte, error) {
	if s := ac.Current(); s != nil {
		for i, active := range s.Manifest.Sections {
			if active.Digest == section.Digest {
				return s.Bodies[i].Text, nil
			}
		}
	}
	entry, err := ac.Store.Get(ctx, manifest.BodyKey(section.Section, section.Digest))
	if err != nil {
		return nil, err
	}
	if document.Digest(entry.Value) != section.Digest {
		return nil, &Error{Op: "read body", Kind: KindInvalid, Err: errors.Errorf("section %s has another digest", section.Section)}
	}
	return entry.Value, nil
}

// Reads the manifest and the store's revision of its key. Both are zero if the store has no manifest.
func (ac *ActiveConfig) readManifest(ctx context.Context) (manifest.Manifest, uint64, error) {
	entry, err := ac.Store.Get(ctx, manifest.Key)
	if platform.KindOf(err) == platform.KindNotFound {
		return manifest.Manifest{}, 0, nil
	}
	if err != nil {
		return manifest.Manifest{}, 0, err
	}
	m, err := manifest.Parse(entry.Value)
	return m, entry.Revision, err
}

func newBackoff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryInitial, retryMax
	pause.Reset()
	return pause
}

// Returns a random ID for a change without one.
func newChangeID() string {
	const alphabet = "abcdefghijklmnopqrstuvwxyz234567"
	id := make([]byte, 20)
	for i := range id {
		id[i] = alphabet[rand.IntN(len(alphabet))] //nolint:gosec // the ID need not be secret
	}
	return string(id)
}
