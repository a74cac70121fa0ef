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
	watchWait    = 30 * time.Second
	retryInitial = 50 * time.Millisecond
	retryMax     = time.Second
)

// Watch brings each manifest that the platform accepts into force until ctx ends; edge hosts run it.
func (k *Keeper) Watch(ctx context.Context) error {
	ctx = platform.WithPriority(ctx, platform.PriorityConfig)
	pause := newBackoff()
	var index uint64
	for ctx.Err() == nil {
		asked := time.Now()
		entries, err := k.Store.Watch(ctx, manifest.Key, index, watchWait)
		if err == nil && len(entries.Entries) > 0 {
			err = k.takeEncoded(ctx, entries.Entries[0].Value)
		}
		if err != nil {
			k.Metrics.Counter("config_watch_errors").Inc(1)
			wait.For(ctx, pause.NextBackOff())
			continue
		}
		moved := entries.Index > index
		index = entries.Index // a lower one is a stale read, or a store that was restored
		if moved || time.Since(asked) >= watchWait/2 {
			pause.Reset()
			continue
		}
		wait.For(ctx, pause.NextBackOff())
	}
	return nil
}

func (k *Keeper) takeEncoded(ctx context.Context, text []byte) error {
	m, err := manifest.Parse(text)
	if err != nil {
		k.Metrics.Counter("config_offers_refused").Inc(1)
		return err
	}
	return k.take(ctx, m)
}

// Brings a manifest that was read from the platform into force.
func (k *Keeper) take(ctx context.Context, m manifest.Manifest) error {
	if m.Revision <= k.Version().Revision {
		return nil
	}
	bodies, err := k.bodies(ctx, k.missing(m))
	if err != nil {
		return err
	}
	texts := make([][]byte, len(bodies))
	for i, b := range bodies {
		texts[i] = b.Text
	}
	_, err = k.offer(m, texts, SourceWatch)
	return err
}

func (k *Keeper) missing(m manifest.Manifest) []manifest.SectionVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Missing(m)
}

// Returns the bodies of sections, from what is in force where possible.
func (k *Keeper) bodies(ctx context.Context, sections []manifest.SectionVersion) ([]document.Body, error) {
	bodies := make([]document.Body, 0, len(sections))
	for _, section := range sections {
		text, err := k.body(ctx, section)
		if err != nil {
			return nil, err
		}
		bodies = append(bodies, document.Body{Section: section.Section, Text: text})
	}
	return bodies, nil
}

func (k *Keeper) body(ctx context.Context, section manifest.SectionVersion) ([]byte, error) {
	if s := k.Current(); s != nil {
		for i, own := range s.Manifest.Sections {
			if own.Digest == section.Digest {
				return s.Bodies[i].Text, nil
			}
		}
	}
	entry, err := k.Store.Get(ctx, manifest.BodyKey(section.Section, section.Digest))
	if err != nil {
		return nil, err
	}
	if document.Digest(entry.Value) != section.Digest {
		return nil, &Error{Op: "read body", Kind: KindInvalid, Err: errors.Errorf("section %s has another digest", section.Section)}
	}
	return entry.Value, nil
}

// Reads the manifest and its key's revision; both are zero when there is none.
func (k *Keeper) readManifest(ctx context.Context) (manifest.Manifest, uint64, error) {
	entry, err := k.Store.Get(ctx, manifest.Key)
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

// Returns an id for a change that names none.
func newChangeID() string {
	const alphabet = "abcdefghijklmnopqrstuvwxyz234567"
	id := make([]byte, 20)
	for i := range id {
		id[i] = alphabet[rand.IntN(len(alphabet))] //nolint:gosec // an id needs no secret
	}
	return string(id)
}
