package feed

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

const (
	// The minimum age at which the configuration is read from the store again.
	configInterval = 600 * time.Millisecond
	// The minimum age at which the replicas are read from the store again.
	replicaInterval = 500 * time.Millisecond
	// The timeout of one read of the store.
	readTimeout = 1500 * time.Millisecond
	// The interval at which the ages are checked, and the first pause after a failed read.
	agePollInterval = 100 * time.Millisecond
	// The maximum pause after a failed read; the pause doubles with each consecutive failure.
	maxBackoff = 2 * time.Second
)

// Document is a configuration document as read from the store.
type Document struct {
	Data     []byte
	Revision int64 // of its last change
}

// Store reads from the platform's store. If a method returns an error, its other results say nothing about the store.
type Store interface {
	Configuration(ctx context.Context) (Document, error)
	Replicas(ctx context.Context) ([]replica.Replica, int64, error)
}

// State is the configuration and the replicas that one host sends to another.
type State struct {
	ConfigRevision  int64             `cbor:"1,keyasint,omitempty"`
	ConfigData      []byte            `cbor:"2,keyasint,omitempty"` // compressed; omitted if the receiver has it
	ReplicaRevision int64             `cbor:"3,keyasint,omitempty"`
	Replicas        []replica.Replica `cbor:"4,keyasint,omitempty"` // omitted if the receiver has them
	HasReplicas     bool              `cbor:"5,keyasint,omitempty"`
	// ConfigProof and ReplicaRead are times relative to the base time defined by link.Beat.
	ConfigProof time.Duration `cbor:"6,keyasint,omitempty"` // when the configuration was last verified to be the newest
	ReplicaRead time.Duration `cbor:"7,keyasint,omitempty"` // when the replicas were read from the store

	ListDigest uint64 `cbor:"8,keyasint,omitempty"` // digest of the set of replicas; 0 if the sender has none
}

// Feed holds the active configuration and replicas of a host. Its exported fields must be set before use.
type Feed struct {
	Store  Store
	Decode func(data []byte) (*catalog.Catalog, error)
	Log    *eventlog.Log
	// MaxAge returns how old the configuration and the replicas may become before the host reads the store itself.
	MaxAge func() time.Duration
	// Changed, if not nil, is called in a goroutine of its own after the configuration or the replicas changed.
	Changed func()
	Meters  tally.Scope

	catalog atomic.Pointer[catalog.Catalog]

	mu              sync.Mutex
	document        Document
	compressed      []byte    // document.Data compressed; nil until a peer needs it
	verifiedAt      time.Time // when document was last verified to be the newest
	replicaList     *replica.List
	replicas        []replica.Replica // the active ones; replaced as a whole, never modified
	replicaRevision int64             // revision of the store at which the replicas were read
	replicasReadAt  time.Time         // when this host or a peer started to read the replicas
	listDigest      uint64            // of replicas; 0 until replicas are known
	storeDown       bool              // the last read failed
}

// Init initializes the state; it must be called before any other method.
func (f *Feed) Init() { f.replicaList = replica.NewList() }

// Catalog returns the active configuration, or nil if there is none yet.
func (f *Feed) Catalog() *catalog.Catalog { return f.catalog.Load() }

// Proof returns the time at which the active configuration was last verified to be the newest. It is zero if that
// has not happened yet.
func (f *Feed) Proof() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.verifiedAt
}

// Replicas returns the active replicas; the caller must not modify the slice.
func (f *Feed) Replicas() []replica.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas
}

// Run reads the configuration and the replicas from the store whenever they reach the age that MaxAge returns. It runs
// until ctx ends and returns the error of ctx.
func (f *Feed) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Add(2)
	go func() {
		defer loops.Done()
		f.readLoop(ctx, configInterval, f.configAge, f.readConfiguration)
	}()
	go func() {
		defer loops.Done()
		f.readLoop(ctx, replicaInterval, f.replicaAge, f.readReplicas)
	}()
	loops.Wait()
	return ctx.Err()
}

// readLoop calls read whenever the age has reached both interval and MaxAge, until ctx ends. After a failed read it
// pauses, twice as long with each consecutive failure.
func (f *Feed) readLoop(ctx context.Context, interval time.Duration, age func() time.Duration,
	read func(ctx context.Context) error,
) {
	pause := time.Duration(0)
	for ctx.Err() == nil {
		if age() < max(f.MaxAge(), interval) {
			wait.For(ctx, agePollInterval)
			continue
		}
		err := f.timedRead(ctx, read)
		if err == nil {
			pause = 0
			continue
		}
		pause = min(max(2*pause, agePollInterval), maxBackoff)
		wait.For(ctx, pause)
	}
}

// timedRead calls read with readTimeout and records its duration and outcome.
func (f *Feed) timedRead(ctx context.Context, read func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	startedAt := steady.Now()
	err := read(ctx)
	f.Meters.Timer("store_reads").Record(steady.Now().Sub(startedAt))
	f.Meters.Gauge("config_proof_age_seconds").Update(f.configAge().Seconds())
	if err != nil {
		f.Meters.Counter("store_reads_failed").Inc(1)
	}
	f.recordStoreState(err)
	return err
}

// recordStoreState records whether the last read of the store failed with err, and logs when that changes.
func (f *Feed) recordStoreState(err error) {
	f.mu.Lock()
	changed := f.storeDown != (err != nil)
	f.storeDown = err != nil
	f.mu.Unlock()
	switch {
	case changed && err != nil:
		f.Log.Warn("store_lost", slog.String("error", err.Error()))
	case changed:
		f.Log.Event("store_regained")
	}
}

func (f *Feed) configAge() time.Duration { return steady.Now().Sub(f.Proof()) }

func (f *Feed) replicaAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return steady.Now().Sub(f.replicasReadAt)
}

func (f *Feed) readConfiguration(ctx context.Context) error {
	startedAt := steady.Now()
	doc, err := f.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	f.applyDocument(doc, startedAt, "store")
	return nil
}

// applyDocument activates doc if its revision is newer than that of the active configuration, it can be decoded and its
// version is not older. If the revisions are equal, it only moves the verified time forward to verifiedAt.
// verifiedAt is a time at which doc was the newest configuration.
func (f *Feed) applyDocument(doc Document, verifiedAt time.Time, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case doc.Revision < f.document.Revision:
		return
	case doc.Revision == f.document.Revision:
		if verifiedAt.After(f.verifiedAt) {
			f.verifiedAt = verifiedAt
		}
		return
	}
	c, err := f.Decode(doc.Data)
	if err != nil {
		f.Log.Warn("configuration_unreadable", slog.Int64("revision", doc.Revision), slog.String("error", err.Error()))
		return
	}
	if previous := f.catalog.Load(); previous != nil && c.Version < previous.Version {
		f.Log.Warn("configuration_older", slog.Int64("version", c.Version), slog.Int64("in_force", previous.Version))
		return
	}
	f.document = doc
	f.compressed = nil
	f.verifiedAt = verifiedAt
	f.catalog.Store(c)
	f.Meters.Gauge("config_version").Update(float64(c.Version))
	f.Log.Event("configuration_in_force", slog.Int64("version", c.Version), slog.Int64("revision", doc.Revision),
		slog.String("source", source), eventlog.Milliseconds("proof_age_ms", steady.Now().Sub(verifiedAt)))
	f.notifyChanged()
}

func (f *Feed) notifyChanged() {
	if f.Changed != nil {
		go f.Changed()
	}
}

func (f *Feed) readReplicas(ctx context.Context) error {
	startedAt := steady.Now()
	replicas, revision, err := f.Store.Replicas(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.replicaRevision {
		return nil
	}
	f.replicaRevision = revision
	f.replicasReadAt = startedAt
	f.applyChanges(f.replicaList.Update(startedAt, replicas))
	return nil
}

// applyChanges makes the list of replicas active after an update of the list, and logs the changes.
func (f *Feed) applyChanges(changes []replica.Change) {
	if len(changes) == 0 {
		return
	}
	f.replicas = f.replicaList.All()
	f.listDigest = f.replicaList.Digest()
	for _, c := range changes {
		f.Log.Event("replica_"+string(c.Kind), slog.String("replica", c.Replica.ID),
			slog.String("service", c.Replica.Service), slog.String("address", c.Replica.Address.String()),
			slog.Int64("revision", f.replicaRevision))
	}
	f.notifyChanged()
}

// Export returns the state to send to a peer that has the configuration of the given revision and the set of replicas
// with the given digest. It omits what the peer has. Times in the state are relative to base.
func (f *Feed) Export(base time.Time, configRevision int64, listDigest uint64) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{
		ConfigRevision:  f.document.Revision,
		ReplicaRevision: f.replicaRevision,
		ListDigest:      f.listDigest,
		HasReplicas:     f.listDigest != 0 && f.listDigest != listDigest,
		ConfigProof:     f.verifiedAt.Sub(base),
		ReplicaRead:     f.replicasReadAt.Sub(base),
	}
	if f.document.Revision > configRevision {
		if f.compressed == nil {
			f.compressed = compress(f.document.Data)
		}
		s.ConfigData = f.compressed
	}
	if s.HasReplicas {
		s.Replicas = f.replicas
	}
	return s
}

// Has returns the revision of the active configuration and the digest of the set of active replicas.
func (f *Feed) Has() (configRevision int64, listDigest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document.Revision, f.listDigest
}

// Import takes over what is newer in the state that a peer sent. Times in the state are relative to base. For replicas
// of the same revision, the later read is the newer.
func (f *Feed) Import(base time.Time, s State) {
	configRevision, _ := f.Has()
	switch {
	case s.ConfigRevision == 0:
	case s.ConfigData != nil:
		data, err := decompress(s.ConfigData)
		if err != nil {
			f.Log.Warn("configuration_unreadable", slog.Int64("revision", s.ConfigRevision), slog.String("error", err.Error()))
			break
		}
		f.applyDocument(Document{Data: data, Revision: s.ConfigRevision}, base.Add(s.ConfigProof), "peer")
	case s.ConfigRevision == configRevision:
		f.applyDocument(Document{Revision: s.ConfigRevision}, base.Add(s.ConfigProof), "peer")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	readAt := base.Add(s.ReplicaRead)
	newer := s.ReplicaRevision > f.replicaRevision ||
		s.ReplicaRevision == f.replicaRevision && readAt.After(f.replicasReadAt)
	switch {
	case s.ReplicaRevision == 0 || !newer:
	case s.HasReplicas:
		f.replicaRevision = s.ReplicaRevision
		f.replicasReadAt = readAt
		f.applyChanges(f.replicaList.Replace(readAt, s.Replicas))
	case s.ListDigest == f.listDigest:
		f.replicaRevision = s.ReplicaRevision
		f.replicasReadAt = readAt
		f.replicaList.Confirm(readAt)
	}
}
