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

// Sources of an activated configuration.
const (
	SourceLocal Source = "local" // a change that this host took through the store
	SourceWatch Source = "watch" // read from the platform's store
	SourcePeer  Source = "peer"  // received from another host
)

type (
	// Source names where this host got its configuration from.
	Source string

	// Store contains the operations of the platform's store that this package uses.
	Store interface {
		Get(ctx context.Context, key string) (platformapi.Entry, error)
		CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error)
		Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (platformapi.Entries, error)
	}

	// Snapshot is the active configuration of this host. It must not be modified.
	Snapshot struct {
		Document *document.Document
		Version  protocol.ManifestVersion
		Manifest manifest.Manifest
		Bodies   []document.Body
		Source   Source
	}

	// ActiveConfig holds the active configuration of one host and replaces it by newer ones. Its exported fields must be
	// set before use.
	ActiveConfig struct {
		Store    Store
		Now      func() time.Time
		Metrics  tally.Scope
		Log      *slog.Logger
		OnChange func(*Snapshot) // called after each activation, in order; must not block; may be nil

		mu       sync.Mutex // serializes activations; guards state
		state    manifest.State
		current  atomic.Pointer[Snapshot]
		starting atomic.Bool // set during Start: the active configuration may be older than before the restart

		skipStartVerification bool // disables the verification in Start, so that tests show what it prevents
	}
)

// Current returns the active configuration, or nil if there is none yet.
func (ac *ActiveConfig) Current() *Snapshot { return ac.current.Load() }

// Version returns the active version, or the zero value if there is none yet.
func (ac *ActiveConfig) Version() protocol.ManifestVersion {
	if s := ac.Current(); s != nil {
		return s.Version
	}
	return protocol.ManifestVersion{}
}

// Offer activates a peer's configuration if it is newer than the active one, and reports whether it did. It returns an
// *Error if the configuration can't be activated.
//
// After KindMissing, the caller pulls from the peer again with a zero version, so that the peer sends all bodies.
func (ac *ActiveConfig) Offer(c *protocol.Config) (bool, error) {
	if len(c.Manifest) == 0 {
		return false, nil
	}
	m, err := manifest.Parse(c.Manifest)
	if err != nil {
		return false, &Error{Op: "offer", Kind: KindInvalid, Err: err}
	}
	return ac.activateIfNewer(m, c.Bodies, SourcePeer)
}

// Pull returns the manifest and the bodies that a peer needs to go from version have to this host's active version.
// It returns the version alone if have is not older.
//
// From the call of Start until it succeeds, the result is empty, so that two starting hosts don't activate each other's
// unverified configuration. It is also empty if this host has no configuration.
func (ac *ActiveConfig) Pull(have protocol.ManifestVersion) *protocol.Config {
	s := ac.Current()
	if s == nil || ac.starting.Load() {
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

// Activates m if it is newer than the active manifest, and reports whether it did. bodies contains at least the bodies
// that the active configuration lacks.
func (ac *ActiveConfig) activateIfNewer(m manifest.Manifest, bodies [][]byte, source Source) (bool, error) {
	ac.mu.Lock()
	defer ac.mu.Unlock()
	changed, err := ac.state.Offer(m, bodies...)
	if err != nil {
		ac.Metrics.Counter("config_offers_refused").Inc(1)
		return false, &Error{Op: "offer", Kind: offerErrorKind(err), Err: err}
	}
	if !changed {
		return false, nil
	}
	s := &Snapshot{Version: ac.state.Version(), Source: source}
	s.Manifest, s.Bodies, s.Document = ac.state.Active()
	ac.current.Store(s)
	ac.Metrics.Gauge("config_revision").Update(float64(s.Version.Revision))
	ac.Log.Info("configuration activated", "revision", s.Version.Revision, "source", source,
		"section", m.Change.Section, "author", m.Change.Author)
	if ac.OnChange != nil {
		ac.OnChange(s)
	}
	return true, nil
}

// Returns the kind of the error with which activateIfNewer reports err.
func offerErrorKind(err error) Kind {
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
