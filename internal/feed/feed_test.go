package feed

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/evacuation"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// newCache returns a cache whose documents consist of a version number only.
func newCache(t *testing.T) *Cache {
	t.Helper()
	log := eventlog.New(io.Discard, "h")
	t.Cleanup(log.Close)
	c := &Cache{Log: log, Metrics: tally.NoopScope, Decode: func(data []byte) (*catalog.Configuration, error) {
		version, err := strconv.ParseInt(strings.TrimSpace(string(data[:min(len(data), 8)])), 10, 64)
		if err != nil {
			return nil, err
		}
		return catalog.New(version, catalog.Limits{}, nil, nil, nil, false), nil
	}}
	c.Init()
	return c
}

func document(version, number int64) Document {
	return Document{Data: []byte(strconv.FormatInt(version, 10)), Revision: revision.New(0, number)}
}

func (c *Cache) activeVersion() int64 {
	if config, _ := c.Active(); config != nil {
		return config.Version
	}
	return 0
}

func (c *Cache) activeVerifiedAt() time.Time {
	_, verifiedAt := c.Active()
	return verifiedAt
}

func TestConfigurationNeverReverts(t *testing.T) {
	c := newCache(t)
	now := steady.Now()
	c.applyDocument(document(5, 50), now, "store")
	c.applyDocument(document(4, 40), now.Add(time.Second), "peer")
	c.applyDocument(document(4, 60), now.Add(time.Second), "store")
	c.applyDocument(Document{Data: []byte("bad"), Revision: revision.New(0, 70)}, now.Add(time.Second), "store")
	if c.activeVersion() != 5 || !c.activeVerifiedAt().Equal(now) {
		t.Errorf("version %d active, want 5; verified time moved by %v", c.activeVersion(), c.activeVerifiedAt().Sub(now))
	}
	c.applyDocument(document(7, 80), now.Add(2*time.Second), "peer")
	if c.activeVersion() != 7 {
		t.Errorf("version %d active, want 7", c.activeVersion())
	}
}

func TestVerifiedTimeNeverDecreases(t *testing.T) {
	c := newCache(t)
	now := steady.Now()
	c.applyDocument(document(5, 50), now, "store")
	c.applyDocument(document(5, 50), now.Add(-time.Second), "peer")
	if !c.activeVerifiedAt().Equal(now) {
		t.Errorf("verified time moved by %v, want 0s", c.activeVerifiedAt().Sub(now))
	}
	c.applyDocument(document(5, 50), now.Add(time.Second), "peer")
	if c.activeVerifiedAt().Sub(now) != time.Second {
		t.Errorf("verified time moved by %v, want 1s", c.activeVerifiedAt().Sub(now))
	}
}

// Imported state must not appear newer than it is, in spite of the transit time of the messages: the receiver adds the
// relative times to the time at which it sent its stamp, which is before the sender received that stamp.
func TestImportNeverOverstatesVerifiedTime(t *testing.T) {
	from, to := newCache(t), newCache(t)
	now := steady.Now()
	verifiedAt := now.Add(-400 * time.Millisecond)
	from.applyDocument(document(5, 50), verifiedAt, "store")
	from.replicaList.Update(now, 0, nil)
	stampSent := now.Add(-30 * time.Millisecond)
	stampReceived := now.Add(-20 * time.Millisecond) // after 10 ms in transit
	to.Import(stampSent, from.Export(stampReceived, Versions{}))
	if to.activeVersion() != 5 {
		t.Fatalf("version %d active, want 5", to.activeVersion())
	}
	if to.activeVerifiedAt().After(verifiedAt) || verifiedAt.Sub(to.activeVerifiedAt()) > 10*time.Millisecond {
		t.Errorf("verified time is %v later after the import, want -10ms to 0s", to.activeVerifiedAt().Sub(verifiedAt))
	}
}

func TestExportOmitsWhatThePeerHas(t *testing.T) {
	c := newCache(t)
	now := steady.Now()
	c.applyDocument(document(5, 50), now, "store")
	c.replicasReadAt = now
	c.applyChanges(c.replicaList.Update(now, 0, []replica.Replica{{ID: "a"}}), sourceStore)
	s := c.Export(now, c.Versions())
	if s.ConfigData != nil || s.HasReplicas || s.Replicas != nil {
		t.Errorf("exported what the peer has: %+v", s)
	}
	if s = c.Export(now, Versions{}); s.ConfigData == nil || len(s.Replicas) != 1 || s.ReplicaData != nil {
		t.Errorf("omitted what the peer lacks: %+v", s)
	}
}

func TestLaterReadWinsAtSameRevision(t *testing.T) {
	c := newCache(t)
	now := steady.Now()
	old := State{ReplicaRevision: 9, HasReplicas: true, Replicas: []replica.Replica{{ID: "a"}, {ID: "b"}}, ReplicaDigest: 1}
	newer := State{ReplicaRevision: 9, HasReplicas: true, Replicas: []replica.Replica{{ID: "a"}}, ReplicaDigest: 2}
	c.Import(now.Add(time.Second), newer)
	c.Import(now, old)
	if n := len(c.Replicas()); n != 1 {
		t.Errorf("%d replicas, want the one of the later read", n)
	}
}

type fakeStore struct {
	reads     int
	err       error
	evacuated evacuation.Set
	era       int64  // of the configuration
	data      string // the document; that of version 1 if it is empty
	replicas  []replica.Replica
	revision  int64 // of the last change
}

func (s *fakeStore) Configuration(context.Context) (Document, evacuation.Set, error) {
	s.reads++
	return Document{Data: []byte(cmp.Or(s.data, "1")), Revision: revision.New(s.era, 1)}, s.evacuated, s.err
}

func (s *fakeStore) Replicas(context.Context) ([]replica.Replica, revision.Revision, error) {
	return slices.Clone(s.replicas), revision.New(s.era, max(s.revision, 1)), s.err
}

func TestFailedReadKeepsVerifiedTime(t *testing.T) {
	c := newCache(t)
	c.Store = &fakeStore{err: errors.New("down")}
	if err := c.timedRead(t.Context(), c.readConfiguration); err == nil || !c.activeVerifiedAt().IsZero() || c.activeVersion() != 0 {
		t.Errorf("failed read: error %v, verified time %v", err, c.activeVerifiedAt())
	}
	c.Store = &fakeStore{}
	if err := c.timedRead(t.Context(), c.readConfiguration); err != nil || c.activeVersion() != 1 {
		t.Errorf("successful read: error %v, active version %d", err, c.activeVersion())
	}
}

func TestCompressionRoundTrip(t *testing.T) {
	data := []byte(strings.Repeat(`{"name":"r-2yhvz3p","host":"a.example"},`, 5000))
	compressed := compress(data)
	if len(compressed) > len(data)/5 {
		t.Errorf("compressed size %d of %d bytes, want at most a fifth", len(compressed), len(data))
	}
	if got, err := decompress(compressed); err != nil || !bytes.Equal(got, data) {
		t.Errorf("decompressed to %d bytes, error %v", len(got), err)
	}
	if _, err := decompress(compressed[:len(compressed)/2]); err == nil {
		t.Error("a truncated document was accepted")
	}
}

// Two hosts exchange their states over many changes: all that is sent after the first time are changes, and both have
// the same at the end.
func TestOnlyChangesAreSent(t *testing.T) {
	from, to := newCache(t), newCache(t)
	now := steady.Now()
	var replicas []replica.Replica
	for i := range 200 {
		replicas = append(replicas, replica.Replica{ID: strconv.Itoa(1000 + i), Born: 1})
	}
	for step := range 60 {
		now = now.Add(time.Second)
		switch step % 3 {
		case 0:
			replicas[step].Draining = true
		case 1:
			replicas = append(replicas[:step], replicas[step+1:]...)
		default:
			replicas = append(replicas, replica.Replica{ID: strconv.Itoa(5000 + step), Born: 2})
		}
		from.replicaRevision = revision.New(0, int64(step+1))
		from.replicasReadAt = now
		from.applyChanges(from.replicaList.Update(now, 0, replicas), sourceStore)
		from.applyDocument(Document{
			Data:     []byte(strconv.Itoa(step+1) + strings.Repeat(" ", 5000)),
			Revision: revision.New(0, int64(step+1)),
		}, now, "store")
		s := from.Export(now, to.Versions())
		if step > 0 && (s.ConfigData != nil || s.Replicas != nil || s.ReplicaData != nil || len(s.ReplicaDelta.Changed)+len(s.ReplicaDelta.Removed) != 1) {
			t.Fatalf("step %d: the whole is sent", step)
		}
		to.Import(now, s)
		if !to.Versions().SameContent(from.Versions()) {
			t.Fatalf("step %d: versions %+v, want %+v", step, to.Versions(), from.Versions())
		}
	}
}

// A change of another list or document than the receiver's is not applied, and the receiver goes on reporting its own.
func TestChangeOfAnotherBaseIsNotApplied(t *testing.T) {
	from, to := newCache(t), newCache(t)
	now := steady.Now()
	from.replicaRevision = revision.New(0, 1)
	from.replicasReadAt = now
	from.applyChanges(from.replicaList.Update(now, 0, []replica.Replica{{ID: "a"}}), sourceStore)
	from.applyDocument(document(5, 50), now, "store")
	before := from.Versions()
	from.replicasReadAt = now.Add(time.Second)
	from.applyChanges(from.replicaList.Update(now.Add(time.Second), 0, []replica.Replica{{ID: "a"}, {ID: "b"}}), sourceStore)
	from.applyDocument(document(6, 60), now, "store")
	s := from.Export(now, before)
	if s.ConfigPatch == nil || s.ReplicaDelta == nil {
		t.Fatalf("state %+v, want changes", s)
	}
	to.Import(now, s)
	if to.activeVersion() != 0 || len(to.Replicas()) != 0 {
		t.Errorf("version %d and %d replicas from changes of what the host doesn't have", to.activeVersion(), len(to.Replicas()))
	}
	to.Import(now, from.Export(now, to.Versions()))
	if !to.Versions().SameContent(from.Versions()) {
		t.Errorf("versions %+v, want %+v", to.Versions(), from.Versions())
	}
}

// Guards against reads without a pause of a store whose document can't be decoded, and so never becomes the verified one.
func TestUnreadableDocumentIsReadAtIntervals(t *testing.T) {
	c := newCache(t)
	s := &fakeStore{data: "bad"}
	c.Store = s
	c.MaxAge = func() time.Duration { return 0 }
	const duration = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	c.readLoop(ctx, configInterval, c.configAge, c.readConfiguration)
	if most := int(duration/agePollInterval) + 1; s.reads == 0 || s.reads > most {
		t.Errorf("%d reads, want 1 to %d", s.reads, most)
	}
}
