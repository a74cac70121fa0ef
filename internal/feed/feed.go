package feed

import (
	"context"
	"log/slog"
	"sync"
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
	// ConfigVerified and ReplicaRead are times relative to the base time that link.Heartbeat.State defines.
	ConfigVerified time.Duration `cbor:"6,keyasint,omitempty"` // when the configuration was last verified to be the newest
	ReplicaRead    time.Duration `cbor:"7,keyasint,omitempty"` // when the replicas were read from the store

	ReplicaDigest uint64 `cbor:"8,keyasint,omitempty"` // digest of the set of replicas; 0 if the sender has none
}

// Cache holds the active configuration and replicas of a host. Its exported fields must be set before use.
type Cache struct {
	Store  Store
	Decode func(data []byte) (*catalog.Configuration, error)
	Log    *eventlog.Log
	// MaxAge returns how old the configuration and the replicas may become before the host reads the store itself.
	MaxAge func() time.Duration
	// OnChange, if not nil, is called in a goroutine of its own after the configuration or the replicas changed.
	OnChange func()
	Metrics  tally.Scope

	mu              sync.Mutex
	configuration   *catalog.Configuration // decoded from document; nil until there is one
	document        Document
	compressed      []byte    // document.Data compressed; nil until a peer needs it
	verifiedAt      time.Time // when document was last verified to be the newest
	replicaList     *replica.List
	replicas        []replica.Replica // the active ones; replaced as a whole, never modified
	replicaRevision int64             // revision of the store at which the replicas were read
	replicasReadAt  time.Time         // when this host or a peer started to read the replicas
	replicaDigest   uint64            // of replicas; 0 until replicas are known
	storeDown       bool              // the last read failed
}

// Init makes the cache ready for use; it must be called before any other method.
func (c *Cache) Init() { c.replicaList = replica.NewList() }

// Active returns the active configuration and the time at which it was last verified to be the newest. Both are read at
// once, because the time says nothing about another configuration. They are nil and zero until there is one.
func (c *Cache) Active() (config *catalog.Configuration, verifiedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration, c.verifiedAt
}

// Replicas returns the active replicas; the slice must not be modified.
func (c *Cache) Replicas() []replica.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicas
}

// Run reads the configuration and the replicas from the store whenever they reach the age that MaxAge returns. It runs
// until ctx ends and returns the error of ctx.
func (c *Cache) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	loops.Add(2)
	go func() {
		defer loops.Done()
		c.readLoop(ctx, configInterval, c.configAge, c.readConfiguration)
	}()
	go func() {
		defer loops.Done()
		c.readLoop(ctx, replicaInterval, c.replicaAge, c.readReplicas)
	}()
	loops.Wait()
	return ctx.Err()
}

// readLoop calls read whenever the age has reached both interval and MaxAge, until ctx ends. After a failed read it
// pauses, twice as long with each consecutive failure.
func (c *Cache) readLoop(ctx context.Context, interval time.Duration, age func() time.Duration,
	read func(ctx context.Context) error,
) {
	pause := time.Duration(0)
	for ctx.Err() == nil {
		if age() < max(c.MaxAge(), interval) {
			wait.For(ctx, agePollInterval)
			continue
		}
		err := c.timedRead(ctx, read)
		if err == nil {
			pause = 0
			continue
		}
		pause = min(max(2*pause, agePollInterval), maxBackoff)
		wait.For(ctx, pause)
	}
}

// timedRead calls read with readTimeout and records its duration and outcome.
func (c *Cache) timedRead(ctx context.Context, read func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	startedAt := steady.Now()
	err := read(ctx)
	c.Metrics.Timer("store_reads").Record(steady.Now().Sub(startedAt))
	c.Metrics.Gauge("config_proof_age_seconds").Update(c.configAge().Seconds())
	if err != nil {
		c.Metrics.Counter("store_reads_failed").Inc(1)
	}
	c.recordStoreState(err)
	return err
}

// recordStoreState records whether the last read of the store failed with err, and logs when that changes.
func (c *Cache) recordStoreState(err error) {
	c.mu.Lock()
	changed := c.storeDown != (err != nil)
	c.storeDown = err != nil
	c.mu.Unlock()
	switch {
	case changed && err != nil:
		c.Log.Warn("store_lost", slog.String("error", err.Error()))
	case changed:
		c.Log.Event("store_regained")
	}
}

func (c *Cache) configAge() time.Duration {
	_, verifiedAt := c.Active()
	return steady.Now().Sub(verifiedAt)
}

func (c *Cache) replicaAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return steady.Now().Sub(c.replicasReadAt)
}

func (c *Cache) readConfiguration(ctx context.Context) error {
	startedAt := steady.Now()
	doc, err := c.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	c.applyDocument(doc, startedAt, "store")
	return nil
}

// applyDocument activates doc if its revision is newer than that of the active configuration, it can be decoded and its
// version is not older. If the revisions are equal, it only moves the verified time forward to verifiedAt.
// verifiedAt is a time at which doc was the newest configuration.
func (c *Cache) applyDocument(doc Document, verifiedAt time.Time, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case doc.Revision < c.document.Revision:
		return
	case doc.Revision == c.document.Revision:
		if verifiedAt.After(c.verifiedAt) {
			c.verifiedAt = verifiedAt
		}
		return
	}
	config, err := c.Decode(doc.Data)
	if err != nil {
		c.Log.Warn("configuration_unreadable", slog.Int64("revision", doc.Revision), slog.String("error", err.Error()))
		return
	}
	if c.configuration != nil && config.Version < c.configuration.Version {
		c.Log.Warn("configuration_older", slog.Int64("version", config.Version),
			slog.Int64("in_force", c.configuration.Version))
		return
	}
	c.document = doc
	c.compressed = nil
	c.verifiedAt = verifiedAt
	c.configuration = config
	c.Metrics.Gauge("config_version").Update(float64(config.Version))
	c.Log.Event("configuration_in_force", slog.Int64("version", config.Version), slog.Int64("revision", doc.Revision),
		slog.String("source", source), eventlog.Milliseconds("proof_age_ms", steady.Now().Sub(verifiedAt)))
	c.notifyChanged()
}

func (c *Cache) notifyChanged() {
	if c.OnChange != nil {
		go c.OnChange()
	}
}

func (c *Cache) readReplicas(ctx context.Context) error {
	startedAt := steady.Now()
	replicas, revision, err := c.Store.Replicas(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.replicaRevision {
		return nil
	}
	c.replicaRevision = revision
	c.replicasReadAt = startedAt
	c.applyChanges(c.replicaList.Update(startedAt, replicas))
	return nil
}

// applyChanges makes the list of replicas active after an update of the list, and logs the changes.
func (c *Cache) applyChanges(changes []replica.Change) {
	if len(changes) == 0 {
		return
	}
	c.replicas = c.replicaList.All()
	c.replicaDigest = c.replicaList.Digest()
	for _, change := range changes {
		c.Log.Event("replica_"+string(change.Kind), slog.String("replica", change.Replica.ID),
			slog.String("service", change.Replica.Service), slog.String("address", change.Replica.Address.String()),
			slog.Int64("revision", c.replicaRevision))
	}
	c.notifyChanged()
}

// Export returns the state to send to a peer that has the configuration of the given revision and the set of replicas
// with the given digest. It omits what the peer has. Times in the state are relative to base.
func (c *Cache) Export(base time.Time, configRevision int64, replicaDigest uint64) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := State{
		ConfigRevision:  c.document.Revision,
		ReplicaRevision: c.replicaRevision,
		ReplicaDigest:   c.replicaDigest,
		HasReplicas:     c.replicaDigest != 0 && c.replicaDigest != replicaDigest,
		ConfigVerified:  c.verifiedAt.Sub(base),
		ReplicaRead:     c.replicasReadAt.Sub(base),
	}
	if c.document.Revision > configRevision {
		if c.compressed == nil {
			c.compressed = compress(c.document.Data)
		}
		s.ConfigData = c.compressed
	}
	if s.HasReplicas {
		s.Replicas = c.replicas
	}
	return s
}

// Versions returns the revision of the active configuration and the digest of the set of active replicas.
func (c *Cache) Versions() (configRevision int64, replicaDigest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document.Revision, c.replicaDigest
}

// Import takes over what is newer in the state that a peer sent. Times in the state are relative to base. For replicas
// of the same revision, the later read is the newer.
func (c *Cache) Import(base time.Time, s State) {
	configRevision, _ := c.Versions()
	switch {
	case s.ConfigRevision == 0:
	case s.ConfigData != nil:
		data, err := decompress(s.ConfigData)
		if err != nil {
			c.Log.Warn("configuration_unreadable", slog.Int64("revision", s.ConfigRevision), slog.String("error", err.Error()))
			break
		}
		c.applyDocument(Document{Data: data, Revision: s.ConfigRevision}, base.Add(s.ConfigVerified), "peer")
	case s.ConfigRevision == configRevision:
		c.applyDocument(Document{Revision: s.ConfigRevision}, base.Add(s.ConfigVerified), "peer")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	readAt := base.Add(s.ReplicaRead)
	newer := s.ReplicaRevision > c.replicaRevision ||
		s.ReplicaRevision == c.replicaRevision && readAt.After(c.replicasReadAt)
	switch {
	case s.ReplicaRevision == 0 || !newer:
	case s.HasReplicas:
		c.replicaRevision = s.ReplicaRevision
		c.replicasReadAt = readAt
		c.applyChanges(c.replicaList.Replace(readAt, s.Replicas))
	case s.ReplicaDigest == c.replicaDigest:
		c.replicaRevision = s.ReplicaRevision
		c.replicasReadAt = readAt
		c.replicaList.ConfirmRead(readAt)
	}
}
