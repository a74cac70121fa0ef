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
	configInterval  = 600 * time.Millisecond
	replicaInterval = 500 * time.Millisecond
	readTimeout     = 1500 * time.Millisecond
	dutyPoll        = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// Document is a configuration document as the store has it.
type Document struct {
	Data     []byte
	Revision int64 // of its last change
}

// Store reads from the platform's store; errors mean that nothing was learnt.
type Store interface {
	Configuration(ctx context.Context) (Document, error)
	Replicas(ctx context.Context) ([]replica.Replica, int64, error)
}

// State is what one host passes on to another.
type State struct {
	ConfigRevision  int64             `cbor:"1,keyasint,omitempty"`
	ConfigData      []byte            `cbor:"2,keyasint,omitempty"` // compressed; left out if the receiver has it
	ReplicaRevision int64             `cbor:"3,keyasint,omitempty"`
	Replicas        []replica.Replica `cbor:"4,keyasint,omitempty"` // left out if the receiver has them
	HasReplicas     bool              `cbor:"5,keyasint,omitempty"`
	// Times relative to the moment that the message layer names.
	ConfigProof time.Duration `cbor:"6,keyasint,omitempty"` // when the configuration was known to be the newest
	ReplicaRead time.Duration `cbor:"7,keyasint,omitempty"`

	ListDigest uint64 `cbor:"8,keyasint,omitempty"` // of the set of replicas
}

// Feed holds what this host knows; its fields must be set before use.
type Feed struct {
	Store  Store
	Decode func(data []byte) (*catalog.Catalog, error)
	Log    *eventlog.Log
	// MaxAge returns how old the host's knowledge may become before it reads the store itself.
	MaxAge func() time.Duration
	// Changed is called after the configuration or the replicas changed.
	Changed func()
	Meters  tally.Scope

	catalog atomic.Pointer[catalog.Catalog]

	mu              sync.Mutex
	document        Document
	packed          []byte    // document.Data, compressed when a peer first needs it
	proof           time.Time // the document was the newest then
	list            *replica.List
	replicas        []replica.Replica
	replicaRevision int64
	replicaRead     time.Time
	digest          uint64 // of replicas
	storeDown       bool
}

// Init makes the feed's state; it must be called before any other method.
func (f *Feed) Init() { f.list = replica.NewList() }

// Catalog returns the configuration in force, or nil.
func (f *Feed) Catalog() *catalog.Catalog { return f.catalog.Load() }

// Proof returns when the configuration in force was last known to be the newest.
func (f *Feed) Proof() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proof
}

// Replicas returns the replicas in force; the slice must not be changed.
func (f *Feed) Replicas() []replica.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replicas
}

// Run reads the store whenever it is this host's duty, until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		f.loop(ctx, configInterval, f.configAge, f.readConfiguration)
	}()
	go func() {
		defer both.Done()
		f.loop(ctx, replicaInterval, f.replicaAge, f.readReplicas)
	}()
	both.Wait()
	return ctx.Err()
}

func (f *Feed) loop(ctx context.Context, interval time.Duration, age func() time.Duration,
	read func(ctx context.Context) error,
) {
	pause := time.Duration(0)
	for ctx.Err() == nil {
		if age() < max(f.MaxAge(), interval) {
			wait.For(ctx, dutyPoll)
			continue
		}
		err := f.timedRead(ctx, read)
		if err == nil {
			pause = 0
			continue
		}
		pause = min(max(2*pause, dutyPoll), maxBackoff)
		wait.For(ctx, pause)
	}
}

func (f *Feed) timedRead(ctx context.Context, read func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := steady.Now()
	err := read(ctx)
	f.Meters.Timer("store_reads").Record(steady.Now().Sub(asked))
	f.Meters.Gauge("config_proof_age_seconds").Update(f.configAge().Seconds())
	if err != nil {
		f.Meters.Counter("store_reads_failed").Inc(1)
	}
	f.noteStore(err)
	return err
}

func (f *Feed) noteStore(err error) {
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
	return steady.Now().Sub(f.replicaRead)
}

func (f *Feed) readConfiguration(ctx context.Context) error {
	asked := steady.Now()
	doc, err := f.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	f.takeDocument(doc, asked, "store")
	return nil
}

// takeDocument puts doc in force if it is newer than the present one; it was the newest at proof.
func (f *Feed) takeDocument(doc Document, proof time.Time, source string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case doc.Revision < f.document.Revision:
		return
	case doc.Revision == f.document.Revision:
		if proof.After(f.proof) {
			f.proof = proof
		}
		return
	}
	c, err := f.Decode(doc.Data)
	if err != nil {
		f.Log.Warn("configuration_unreadable", slog.Int64("revision", doc.Revision), slog.String("error", err.Error()))
		return
	}
	if old := f.catalog.Load(); old != nil && c.Version < old.Version {
		f.Log.Warn("configuration_older", slog.Int64("version", c.Version), slog.Int64("in_force", old.Version))
		return
	}
	f.document = doc
	f.packed = nil
	f.proof = proof
	f.catalog.Store(c)
	f.Meters.Gauge("config_version").Update(float64(c.Version))
	f.Log.Event("configuration_in_force", slog.Int64("version", c.Version), slog.Int64("revision", doc.Revision),
		slog.String("source", source), eventlog.Milliseconds("proof_age_ms", steady.Now().Sub(proof)))
	f.notify()
}

func (f *Feed) notify() {
	if f.Changed != nil {
		go f.Changed()
	}
}

func (f *Feed) readReplicas(ctx context.Context) error {
	asked := steady.Now()
	read, revision, err := f.Store.Replicas(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision < f.replicaRevision {
		return nil
	}
	f.replicaRevision = revision
	f.replicaRead = asked
	f.changed(f.list.Update(asked, read))
	return nil
}

// changed takes over what the list of replicas says after an update.
func (f *Feed) changed(changes []replica.Change) {
	if len(changes) == 0 {
		return
	}
	f.replicas = f.list.All()
	f.digest = f.list.Digest()
	for _, c := range changes {
		f.Log.Event("replica_"+string(c.Kind), slog.String("replica", c.Replica.ID),
			slog.String("service", c.Replica.Service), slog.String("address", c.Replica.Address.String()),
			slog.Int64("revision", f.replicaRevision))
	}
	f.notify()
}

// Export returns what a peer needs that has the configuration of the given revision and the set of replicas with the
// given digest, with times relative to base.
func (f *Feed) Export(base time.Time, configRevision int64, listDigest uint64) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{
		ConfigRevision:  f.document.Revision,
		ReplicaRevision: f.replicaRevision,
		ListDigest:      f.digest,
		HasReplicas:     f.digest != 0 && f.digest != listDigest,
		ConfigProof:     f.proof.Sub(base),
		ReplicaRead:     f.replicaRead.Sub(base),
	}
	if f.document.Revision > configRevision {
		if f.packed == nil {
			f.packed = pack(f.document.Data)
		}
		s.ConfigData = f.packed
	}
	if s.HasReplicas {
		s.Replicas = f.replicas
	}
	return s
}

// Has returns the revision of the configuration and the digest of the set of replicas in force.
func (f *Feed) Has() (configRevision int64, listDigest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document.Revision, f.digest
}

// Import takes what a peer passed on, with times relative to base.
func (f *Feed) Import(base time.Time, s State) {
	configRevision, _ := f.Has()
	switch {
	case s.ConfigRevision == 0:
	case s.ConfigData != nil:
		data, err := unpack(s.ConfigData)
		if err != nil {
			f.Log.Warn("configuration_unreadable", slog.Int64("revision", s.ConfigRevision), slog.String("error", err.Error()))
			break
		}
		f.takeDocument(Document{Data: data, Revision: s.ConfigRevision}, base.Add(s.ConfigProof), "peer")
	case s.ConfigRevision == configRevision:
		f.takeDocument(Document{Revision: s.ConfigRevision}, base.Add(s.ConfigProof), "peer")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	read := base.Add(s.ReplicaRead)
	newer := s.ReplicaRevision > f.replicaRevision || s.ReplicaRevision == f.replicaRevision && read.After(f.replicaRead)
	switch {
	case s.ReplicaRevision == 0 || !newer:
	case s.HasReplicas:
		f.replicaRevision = s.ReplicaRevision
		f.replicaRead = read
		f.changed(f.list.Replace(read, s.Replicas))
	case s.ListDigest == f.digest:
		f.replicaRevision = s.ReplicaRevision
		f.replicaRead = read
		f.list.Confirm(read)
	}
}
