package feed

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/evacuation"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
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
	// How long after a restore of the store the operator may take to write again what the store has lost. Until then, the
	// document that the store holds may not be the newest one.
	rewriteTime = 2 * time.Second
)

// What a host has learnt something from, as logs name it.
const (
	sourceStore        = "store"
	sourcePeer         = "peer"
	sourceAnnouncement = "announcement" // of a replica that leaves
)

// Document is a configuration document as read from the store.
type Document struct {
	Data     []byte
	Revision revision.Revision // of its last change
}

// Store reads from the platform's store. If a method returns an error, its other results say nothing about the store.
type Store interface {
	// Configuration also returns the evacuated failure domains that the same read has found, as of the time at which it was
	// started; an unknown set if the store isn't asked for them.
	Configuration(ctx context.Context) (Document, evacuation.Set, error)
	Replicas(ctx context.Context) ([]replica.Replica, revision.Revision, error)
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
	// EvacuationTime is how soon after its start an evacuation must be obeyed; 0 if this host doesn't obey any.
	EvacuationTime time.Duration
	Regions        map[string]string // region by failure domain, for those that are known; may be nil
	// OnRead, if not nil, is called with the replicas that this host itself has read from the store, as their entries say. The
	// read began at readAt; the store was then in the given era.
	OnRead func(readAt time.Time, era int64, read []replica.Replica)

	now func() time.Time // steady.Now, but for tests

	mu              sync.Mutex
	configuration   *catalog.Configuration // decoded from document; nil until there is one
	document        Document
	previous        Document          // the active document before this one
	compressed      []byte            // document.Data compressed; nil until a peer needs it
	patch           []byte            // document.Data compressed as a change of previous.Data; nil until a peer needs it
	verifiedAt      time.Time         // when document was last verified to be the newest
	skipped         revision.Revision // of the last document that was not activated
	era             int64             // newest era of the store that this host knows
	rewrittenAt     time.Time         // when the store has all again that was written before era; see rewriteTime
	replicaList     *replica.List
	replicas        []replica.Replica // the active ones, as peers exchange them; replaced as a whole, never modified
	present         []replica.Replica // those of replicas that haven't gone; see replica.List.Present
	packedReplicas  []byte            // replicas encoded and compressed; nil until a peer needs it
	replicaRevision revision.Revision // of the store when the replicas were read
	replicasReadAt  time.Time         // when this host or a peer started to read the replicas
	replicaDigest   uint64            // of replicas; 0 until replicas are known
	storeDown       bool              // the last read failed
	evacuated       evacuation.Set    // failure domains whose replicas get no requests
	loggedUnknown   []string          // evacuated failure domains that were logged as unknown
	lookedAt        time.Time         // when watchFreezes last looked at the time; zero before
	thawedAt        time.Time         // when this host went on after it was last frozen
}

// Init makes the cache ready for use; it must be called before any other method.
func (c *Cache) Init() {
	c.replicaList = replica.NewList()
	c.now = steady.Now
}

// Active returns the active configuration and the time at which it was last verified to be the newest. Both are read at
// once, because the time says nothing about another configuration. They are nil and zero until there is one.
func (c *Cache) Active() (config *catalog.Configuration, verifiedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.configuration, c.verifiedAt
}

// Replicas returns the active replicas, see replica.List.Present; the slice must not be modified.
func (c *Cache) Replicas() []replica.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.present
}

// Run reads the configuration and the replicas from the store whenever they reach the age that MaxAge returns. It runs
// until ctx ends and returns the error of ctx.
func (c *Cache) Run(ctx context.Context) error {
	var loops sync.WaitGroup
	if c.EvacuationTime > 0 {
		loops.Go(func() { c.watchFreezes(ctx) })
	}
	loops.Add(2)
	go func() {
		defer loops.Done()
		c.readLoop(ctx, configInterval, c.stateAge, c.readConfiguration)
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
			if age() >= max(c.MaxAge(), interval) {
				// The read has verified nothing: the document can't be decoded, or the store was just restored.
				wait.For(ctx, agePollInterval)
			}
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
	startedAt := c.now()
	err := read(ctx)
	c.Metrics.Timer("store_reads").Record(c.now().Sub(startedAt))
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
	return c.now().Sub(verifiedAt)
}

func (c *Cache) replicaAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.replicasReadAt)
}

// Era returns the newest era of the store that this host knows; it rises when the store is restored from an older copy.
func (c *Cache) Era() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// observeEra takes over a newer era of the store, in which the store has all again at rewrittenAt that was written
// before.
func (c *Cache) observeEra(now time.Time, era int64, rewrittenAt time.Time) {
	switch {
	case era > c.era:
		c.Log.Warn("store_restored", slog.Int64("era", era), slog.Int64("before", c.era))
		c.era = era
		c.rewrittenAt = rewrittenAt
		if c.replicaDigest != 0 {
			c.replicaList.BeginRestore(now)
		}
	case era == c.era && rewrittenAt.Before(c.rewrittenAt):
		c.rewrittenAt = rewrittenAt
	}
}

// observeRead takes over the era of a response of the store that this host has received at now.
func (c *Cache) observeRead(now time.Time, era int64) { c.observeEra(now, era, now.Add(rewriteTime)) }

func (c *Cache) readConfiguration(ctx context.Context) error {
	startedAt := c.now()
	doc, evacuated, err := c.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeRead(c.now(), doc.Revision.Era)
	evacuated.ReadAt = startedAt
	c.takeEvacuations(evacuated, sourceStore)
	c.applyDocument(doc, c.verifiedBy(startedAt), sourceStore)
	return nil
}

// verifiedBy returns a time at which the document of a read that was started at readAt was the newest one. It returns
// zero if a newer one may have been lost with the last restore of the store and not be written again.
func (c *Cache) verifiedBy(readAt time.Time) time.Time {
	if readAt.Before(c.rewrittenAt) {
		return time.Time{}
	}
	return readAt
}

// applyDocument activates doc if it can be decoded and is newer than the active document. A document with a higher
// version is newer; of two with the same version, the one with the later revision is. If doc is the active document or
// replaces it, applyDocument moves the verified time forward to verifiedAt, a time at which doc was the newest
// configuration. A time that holds for a document holds for a newer one too.
func (c *Cache) applyDocument(doc Document, verifiedAt time.Time, source string) {
	if doc.Revision == c.skipped {
		return
	}
	changed := doc.Revision != c.document.Revision
	if changed && !c.activate(doc) {
		return
	}
	if verifiedAt.After(c.verifiedAt) {
		c.verifiedAt = verifiedAt
	}
	if changed {
		c.Log.Event("configuration_in_force", slog.Int64("version", c.configuration.Version),
			slog.Int64("revision", doc.Revision.Number), slog.Int64("era", doc.Revision.Era), slog.String("source", source),
			eventlog.Milliseconds("proof_age_ms", c.now().Sub(c.verifiedAt)))
		c.notifyChanged()
	}
}

// activate makes doc active and reports true if it can be decoded and is newer than the active document.
func (c *Cache) activate(doc Document) bool {
	config, err := c.Decode(doc.Data)
	if err != nil {
		c.skipped = doc.Revision
		c.Log.Warn("configuration_unreadable", slog.Int64("revision", doc.Revision.Number),
			slog.Int64("era", doc.Revision.Era), slog.String("error", err.Error()))
		return false
	}
	if c.configuration != nil && compareDocuments(config.Version, doc.Revision, c.configuration.Version,
		c.document.Revision) < 0 {
		c.skipped = doc.Revision
		c.Log.Warn("configuration_older", slog.Int64("version", config.Version),
			slog.Int64("in_force", c.configuration.Version), slog.Int64("revision", doc.Revision.Number),
			slog.Int64("era", doc.Revision.Era))
		return false
	}
	c.previous = c.document
	c.document = doc
	c.compressed, c.patch = nil, nil
	c.configuration = config
	c.Metrics.Gauge("config_version").Update(float64(config.Version))
	return true
}

// compareDocuments returns a negative number, 0 or a positive number if the configuration document with the first
// version and revision is older than, the same as or newer than that with the second.
func compareDocuments(version1 int64, revision1 revision.Revision, version2 int64, revision2 revision.Revision) int {
	return cmp.Or(cmp.Compare(version1, version2), revision1.Compare(revision2))
}

func (c *Cache) notifyChanged() {
	if c.OnChange != nil {
		go c.OnChange()
	}
}

func (c *Cache) readReplicas(ctx context.Context) error {
	startedAt := c.now()
	replicas, readRevision, err := c.Store.Replicas(ctx)
	if err != nil {
		c.recordFailedRead(startedAt)
		return err
	}
	if c.applyRead(readRevision, startedAt, replicas) && c.OnRead != nil {
		c.OnRead(startedAt, readRevision.Era, replicas)
	}
	return nil
}

// recordFailedRead records that a read of the replicas failed, which was started at the given time.
func (c *Cache) recordFailedRead(startedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicaList.RecordFailure(startedAt)
}

// applyRead takes over the replicas of a read of the store. It reports false if a later state of the store is known.
func (c *Cache) applyRead(readRevision revision.Revision, readAt time.Time, replicas []replica.Replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeRead(c.now(), readRevision.Era)
	if readRevision.Compare(c.replicaRevision) < 0 {
		return false
	}
	c.setReplicas(readRevision, readAt, c.replicaList.Update(readAt, readRevision.Era, replicas), sourceStore)
	return true
}

// setReplicas records that the list of replicas is that of a read at the given revision and time, and applies the changes
// that the read has made to the list.
func (c *Cache) setReplicas(readRevision revision.Revision, readAt time.Time, changes []replica.Change, source string) {
	c.replicaRevision = readRevision
	c.replicasReadAt = readAt
	c.applyChanges(changes, source)
}

// MarkLeaving marks the replica with the given id, if it started at born, as leaving, and reports whether that is new.
func (c *Cache) MarkLeaving(id string, born int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	change, ok := c.replicaList.MarkLeaving(c.now(), id, born)
	if ok {
		c.applyChanges([]replica.Change{change}, sourceAnnouncement)
	}
	return ok
}

// LeavingReplicas returns the replicas that are marked as leaving.
func (c *Cache) LeavingReplicas() []replica.Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicaList.Leaving()
}

// HasLeft reports whether this incarnation of r takes no new requests; see replica.List.HasLeft.
func (c *Cache) HasLeft(r replica.Replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replicaList.HasLeft(r)
}

// applyChanges makes the list of replicas active after an update of the list, and logs the changes with what this host has
// learnt them from.
func (c *Cache) applyChanges(changes []replica.Change, source string) {
	if len(changes) == 0 {
		return
	}
	c.replicas, c.present = c.replicaList.All(), c.replicaList.Present()
	c.packedReplicas = nil
	c.replicaDigest = c.replicaList.Digest()
	for _, change := range changes {
		c.Log.Event("replica_"+string(change.Kind), slog.String("replica", change.Replica.ID),
			slog.String("service", change.Replica.Service), slog.String("address", change.Replica.Address.String()),
			slog.Int64("revision", c.replicaRevision.Number), slog.String("source", source),
			eventlog.Milliseconds("read_age_ms", c.now().Sub(c.replicasReadAt)))
	}
	c.logUnknownEvacuated()
	c.notifyChanged()
}
