package spread

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// Sources of a configuration that came into force.
const (
	SourceLocal Source = "local" // accepted by this host
	SourceWatch Source = "watch" // read from the platform
	SourcePeer  Source = "peer"  // given by another host
)

type (
	// Source tells from where a configuration came into force.
	Source string

	// Store is the part of the platform's store that configuration needs.
	Store interface {
		Get(ctx context.Context, key string) (platformapi.Entry, error)
		Swap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error)
		Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (platformapi.Entries, error)
	}

	// Snapshot is the configuration in force on this host; it must not be changed.
	Snapshot struct {
		Document *document.Document
		Version  protocol.ManifestVersion
		Manifest manifest.Manifest
		Bodies   []document.Body
		Source   Source
	}

	// Keeper holds the configuration in force on one host; its fields are set before use.
	Keeper struct {
		Store    Store
		Now      func() time.Time
		Metrics  tally.Scope
		Log      *slog.Logger
		OnChange func(*Snapshot) // called after each change, in order, and must not block; may be nil

		mu       sync.Mutex // serializes changes
		state    manifest.State
		current  atomic.Pointer[Snapshot]
		starting atomic.Bool // what is in force may be older than what was in force before

		unproved bool // lets tests show what the proof of a read at the start prevents
	}
)

// Current returns the configuration in force, or nil before there is one.
func (k *Keeper) Current() *Snapshot { return k.current.Load() }

// Version returns the version in force; it is zero before there is one.
func (k *Keeper) Version() protocol.ManifestVersion {
	if s := k.Current(); s != nil {
		return s.Version
	}
	return protocol.ManifestVersion{}
}

// Offer brings a peer's configuration into force if it is newer and reports whether it did, or returns an *Error.
//
// After KindMissing the caller pulls again from the peer with a zero version, which brings all bodies.
func (k *Keeper) Offer(c *protocol.Config) (bool, error) {
	if len(c.Manifest) == 0 {
		return false, nil
	}
	m, err := manifest.Parse(c.Manifest)
	if err != nil {
		return false, &Error{Op: "offer", Kind: KindInvalid, Err: err}
	}
	return k.offer(m, c.Bodies, SourcePeer)
}

// Pull returns what a peer that has have in force lacks; the result's Version is that of this host.
//
// While this host starts it gives nothing, so that two hosts that start don't take each other's word.
func (k *Keeper) Pull(have protocol.ManifestVersion) *protocol.Config {
	s := k.Current()
	if s == nil || k.starting.Load() {
		return &protocol.Config{}
	}
	c := &protocol.Config{Version: s.Version}
	if s.Version.Revision <= have.Revision {
		return c
	}
	c.Manifest = s.Manifest.Encode()
	for i, section := range s.Manifest.Sections {
		if section.Revision > have.Revision {
			c.Bodies = append(c.Bodies, s.Bodies[i].Text)
		}
	}
	return c
}

func (k *Keeper) offer(m manifest.Manifest, bodies [][]byte, source Source) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed, err := k.state.Offer(m, bodies...)
	if err != nil {
		k.Metrics.Counter("config_offers_refused").Inc(1)
		return false, &Error{Op: "offer", Kind: offerKind(err), Err: err}
	}
	if !changed {
		return false, nil
	}
	s := &Snapshot{Version: k.state.Version(), Source: source}
	s.Manifest, s.Bodies, s.Document = k.state.InForce()
	k.current.Store(s)
	k.Metrics.Gauge("config_revision").Update(float64(s.Version.Revision))
	k.Log.Info("configuration in force", "revision", s.Version.Revision, "source", source,
		"section", m.Change.Section, "author", m.Change.Author)
	if k.OnChange != nil {
		k.OnChange(s)
	}
	return true, nil
}

func offerKind(err error) Kind {
	var e *manifest.Error
	if !errors.As(err, &e) {
		return KindInvalid
	}
	switch e.Kind {
	case manifest.KindMissing:
		return KindMissing
	case manifest.KindDiverged:
		return KindDiverged
	default:
		return KindInvalid
	}
}
