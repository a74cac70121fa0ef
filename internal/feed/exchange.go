package feed

import (
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
	"github.com/turmericshunt/turmericshunt/internal/uptime"
)

// State is the configuration and the replicas that one host sends to another. Revisions are sent as numbers with the
// eras beside them, since hosts of earlier versions know the numbers only.
type State struct {
	ConfigRevision  int64             `cbor:"1,keyasint,omitempty"`
	ConfigData      []byte            `cbor:"2,keyasint,omitempty"` // compressed; omitted if the receiver has it
	ReplicaRevision int64             `cbor:"3,keyasint,omitempty"`
	Replicas        []replica.Replica `cbor:"4,keyasint,omitempty"` // omitted if the receiver has them
	HasReplicas     bool              `cbor:"5,keyasint,omitempty"`
	// ConfigVerified and ReplicaRead are times relative to the base time that link.Heartbeat.State defines.
	ConfigVerified time.Duration `cbor:"6,keyasint,omitempty"` // when the configuration was last verified to be the newest
	ReplicaRead    time.Duration `cbor:"7,keyasint,omitempty"` // when the replicas were read from the store
	ReplicaDigest  uint64        `cbor:"8,keyasint,omitempty"` // digest of the set of replicas; 0 if the sender has none
	ConfigVersion  int64         `cbor:"9,keyasint,omitempty"`
	ConfigEra      int64         `cbor:"10,keyasint,omitempty"` // of ConfigRevision
	ReplicaEra     int64         `cbor:"11,keyasint,omitempty"` // of ReplicaRevision
	Era            int64         `cbor:"12,keyasint,omitempty"` // newest era of the store that the sender knows
	UntilRewritten time.Duration `cbor:"13,keyasint,omitempty"` // until the store has all again that was written before Era
	// ConfigPatch is sent in place of ConfigData, and ReplicaDelta in place of Replicas, to a receiver that has what they
	// change.
	ConfigPatch  []byte         `cbor:"14,keyasint,omitempty"`
	ConfigBase   uint64         `cbor:"15,keyasint,omitempty"` // digest of the document that ConfigPatch changes
	ReplicaDelta *replica.Delta `cbor:"16,keyasint,omitempty"`
	ReplicaData  []byte         `cbor:"17,keyasint,omitempty"` // Replicas, encoded and compressed
	// Evacuated is the set of evacuated failure domains. Hosts that don't read evacuations send no EvacuationRevision.
	Evacuated          []string      `cbor:"18,keyasint,omitempty"`
	EvacuationRevision int64         `cbor:"19,keyasint,omitempty"` // of the store when they were read
	EvacuationEra      int64         `cbor:"20,keyasint,omitempty"` // of EvacuationRevision
	EvacuationRead     time.Duration `cbor:"21,keyasint,omitempty"` // when they were read, as ReplicaRead
	// ReplicaSince says since when the store was available until ReplicaRead. Hosts of earlier versions omit it.
	ReplicaSince time.Duration `cbor:"22,keyasint,omitempty"`
}

// HasContent reports whether the state contains the configuration or replicas, or a change of them.
func (s *State) HasContent() bool {
	return s.ConfigData != nil || s.ConfigPatch != nil || s.HasReplicas || s.ReplicaDelta != nil || s.ReplicaData != nil
}

// Versions identifies the configuration and the set of replicas that a host has. The zero value is that of a host that
// has neither. Hosts of earlier versions report no ConfigVersion.
type Versions struct {
	ConfigVersion   int64
	ConfigRevision  revision.Revision
	ReplicaDigest   uint64
	ReplicaRevision revision.Revision // of the store when the replicas were read
	ReplicasReadAt  time.Time         // zero if it isn't known
	AcceptsChanges  bool              // the host accepts changes of what it has in place of the whole
}

// SameContent reports whether v and other are the same configuration and replicas.
func (v Versions) SameContent(other Versions) bool {
	return v.ConfigVersion == other.ConfigVersion && v.ConfigRevision == other.ConfigRevision &&
		v.ReplicaDigest == other.ReplicaDigest
}

// Versions returns what this host has.
func (c *Cache) Versions() Versions {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions()
}

func (c *Cache) versions() Versions {
	v := Versions{
		ConfigRevision: c.document.Revision, ReplicaDigest: c.replicaDigest, ReplicaRevision: c.replicaRevision,
		ReplicasReadAt: c.replicasReadAt, AcceptsChanges: true,
	}
	if c.configuration != nil {
		v.ConfigVersion = c.configuration.Version
	}
	return v
}

// Export returns the state to send to a peer that has the given versions. It omits what the peer has. Times in the state
// are relative to base.
func (c *Cache) Export(base time.Time, peer Versions) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.versions()
	s := State{
		ConfigVersion:   own.ConfigVersion,
		ConfigRevision:  own.ConfigRevision.Number,
		ConfigEra:       own.ConfigRevision.Era,
		ReplicaRevision: c.replicaRevision.Number,
		ReplicaEra:      c.replicaRevision.Era,
		ReplicaDigest:   c.replicaDigest,
		ConfigVerified:  c.verifiedAt.Sub(base),
		ReplicaRead:     c.replicasReadAt.Sub(base),
		ReplicaSince:    c.availableSince().Sub(base),
		Era:             c.era,
		UntilRewritten:  max(c.rewrittenAt.Sub(c.now()), 0),
	}
	c.exportEvacuations(&s, base)
	if own.hasNewerDocument(peer) {
		c.exportDocument(&s, peer)
	}
	if own.hasNewerReplicas(peer) {
		c.exportReplicas(&s, peer)
	}
	return s
}

// exportDocument adds the active document to the state, as a change if the peer has the one before it.
func (c *Cache) exportDocument(s *State, peer Versions) {
	if peer.AcceptsChanges && !c.previous.Revision.IsZero() && peer.ConfigRevision == c.previous.Revision {
		if c.patch == nil {
			c.patch = makePatch(c.previous.Data, c.document.Data)
		}
		s.ConfigPatch = c.patch
		s.ConfigBase = xxhash.Sum64(c.previous.Data)
		return
	}
	if c.compressed == nil {
		c.compressed = compress(c.document.Data)
	}
	s.ConfigData = c.compressed
}

// exportReplicas adds the replicas to the state, as a change if it is known what the peer has.
func (c *Cache) exportReplicas(s *State, peer Versions) {
	if peer.AcceptsChanges {
		if delta, ok := c.replicaList.Delta(peer.ReplicaDigest); ok {
			s.ReplicaDelta = delta
			return
		}
		if c.packedReplicas == nil {
			c.packedReplicas = packReplicas(c.replicas)
		}
		s.ReplicaData = c.packedReplicas
		return
	}
	s.HasReplicas = true
	s.Replicas = c.replicas
}

// hasNewerDocument reports whether v has a newer configuration document than peer.
func (v Versions) hasNewerDocument(peer Versions) bool {
	if peer.ConfigVersion == 0 {
		return v.ConfigRevision.Number > peer.ConfigRevision.Number
	}
	return compareDocuments(v.ConfigVersion, v.ConfigRevision, peer.ConfigVersion, peer.ConfigRevision) > 0
}

// hasNewerReplicas reports whether v has another set of replicas than peer that was read later.
func (v Versions) hasNewerReplicas(peer Versions) bool {
	if v.ReplicaDigest == 0 || v.ReplicaDigest == peer.ReplicaDigest {
		return false
	}
	return isLaterRead(v.ReplicaRevision, v.ReplicasReadAt, peer.ReplicaRevision, peer.ReplicasReadAt)
}

// isLaterRead reports whether replicas that were read at the first revision and time are newer than those read at the
// second. For replicas of the same revision, the later read is the newer.
func isLaterRead(revision1 revision.Revision, readAt1 time.Time, revision2 revision.Revision, readAt2 time.Time) bool {
	order := revision1.Compare(revision2)
	return order > 0 || order == 0 && readAt1.After(readAt2)
}

// Import takes over what is newer in the state that a peer sent. Times in the state are relative to base.
func (c *Cache) Import(base time.Time, s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.observeEra(now, s.Era, now.Add(s.UntilRewritten))
	// The evacuations come first, so that no replica of an evacuated failure domain is in use for a moment.
	c.importEvacuations(base, s)
	c.importConfiguration(base, s)
	c.importReplicas(base, s)
}

// importConfiguration activates the configuration in the state if it is newer. If the state contains none because this
// host has the same, it takes over the verified time.
func (c *Cache) importConfiguration(base time.Time, s State) {
	doc := Document{Revision: revision.New(s.ConfigEra, s.ConfigRevision)}
	switch {
	case s.ConfigRevision == 0:
	case s.ConfigData != nil, s.ConfigPatch != nil && s.ConfigBase == xxhash.Sum64(c.document.Data):
		data, err := c.decodeDocument(s)
		if err != nil {
			c.Log.Warn("configuration_unreadable", slog.Int64("revision", s.ConfigRevision),
				slog.Int64("era", s.ConfigEra), slog.String("error", err.Error()))
			return
		}
		doc.Data = data
		c.applyDocument(doc, base.Add(s.ConfigVerified), sourcePeer)
	case doc.Revision == c.document.Revision:
		c.applyDocument(doc, base.Add(s.ConfigVerified), sourcePeer)
	}
}

// decodeDocument returns the document in the state, whole or as a change of the active one.
func (c *Cache) decodeDocument(s State) ([]byte, error) {
	if s.ConfigData != nil {
		return decompress(s.ConfigData)
	}
	return applyPatch(c.document.Data, s.ConfigPatch)
}

// availableSince returns since when the store was available until the active replicas were read.
func (c *Cache) availableSince() time.Time {
	available := c.replicaList.Available()
	if available.Era != c.replicaRevision.Era || available.Since.After(c.replicasReadAt) {
		return c.replicasReadAt
	}
	return available.Since
}

// importReplicas takes over the replicas in the state if they are newer, and in any case when the store was available.
func (c *Cache) importReplicas(base time.Time, s State) {
	if s.ReplicaRevision == 0 {
		return
	}
	readAt := base.Add(s.ReplicaRead)
	available := uptime.Interval{Era: s.ReplicaEra, Since: readAt, Until: readAt}
	if since := base.Add(s.ReplicaSince); since.Before(readAt) {
		available.Since = since
	}
	readRevision := revision.New(s.ReplicaEra, s.ReplicaRevision)
	if isLaterRead(readRevision, readAt, c.replicaRevision, c.replicasReadAt) {
		if changes, ok := c.replaceReplicas(available, s); ok {
			c.setReplicas(readRevision, readAt, changes, sourcePeer)
			return
		}
	}
	c.applyChanges(c.replicaList.Join(available), sourcePeer)
}

// replaceReplicas replaces the list of replicas by that in the state, which was read at the end of the given time, and returns
// what has changed. It returns false if the state contains none that this host can use.
func (c *Cache) replaceReplicas(available uptime.Interval, s State) ([]replica.Change, bool) {
	switch {
	case s.HasReplicas:
		return c.replicaList.Replace(available, s.Replicas), true
	case s.ReplicaData != nil:
		replicas, err := unpackReplicas(s.ReplicaData)
		if err != nil {
			c.Log.Warn("replicas_unreadable", slog.String("error", err.Error()))
			return nil, false
		}
		return c.replicaList.Replace(available, replicas), true
	case s.ReplicaDelta != nil:
		return c.replicaList.Apply(available, s.ReplicaDelta)
	case s.ReplicaDigest == c.replicaDigest:
		return c.replicaList.Confirm(available), true
	default:
		return nil, false
	}
}
