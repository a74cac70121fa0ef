package feed

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

func newFeed(t *testing.T) *Feed {
	t.Helper()
	log := eventlog.New(io.Discard, "h")
	t.Cleanup(log.Close)
	f := &Feed{Log: log, Meters: tally.NoopScope, Decode: func(data []byte) (*catalog.Catalog, error) {
		version, err := strconv.ParseInt(strings.TrimSpace(string(data[:min(len(data), 8)])), 10, 64)
		if err != nil {
			return nil, err
		}
		return catalog.New(version, catalog.Limits{}, nil, nil, nil, false), nil
	}}
	f.Init()
	return f
}

func document(version, revision int64) Document {
	return Document{Data: []byte(strconv.FormatInt(version, 10)), Revision: revision}
}

func (f *Feed) versionInForce() int64 {
	if c := f.Catalog(); c != nil {
		return c.Version
	}
	return 0
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFeed(t)
	now := steady.Now()
	f.takeDocument(document(5, 50), now, "store")
	f.takeDocument(document(4, 40), now.Add(time.Second), "peer")
	f.takeDocument(document(4, 60), now.Add(time.Second), "store")
	f.takeDocument(Document{Data: []byte("bad"), Revision: 70}, now.Add(time.Second), "store")
	if f.versionInForce() != 5 || !f.Proof().Equal(now) {
		t.Errorf("version %d in force, proved %v later", f.versionInForce(), f.Proof().Sub(now))
	}
	f.takeDocument(document(7, 80), now.Add(2*time.Second), "peer")
	if f.versionInForce() != 7 {
		t.Errorf("version %d in force, want 7", f.versionInForce())
	}
}

func TestProofOnlyGrows(t *testing.T) {
	f := newFeed(t)
	now := steady.Now()
	f.takeDocument(document(5, 50), now, "store")
	f.takeDocument(document(5, 50), now.Add(-time.Second), "peer")
	if !f.Proof().Equal(now) {
		t.Errorf("proof moved by %v", f.Proof().Sub(now))
	}
	f.takeDocument(document(5, 50), now.Add(time.Second), "peer")
	if f.Proof().Sub(now) != time.Second {
		t.Errorf("proof moved by %v, want 1s", f.Proof().Sub(now))
	}
}

// What a host passes on looks no newer to the receiver than it is: the receiver counts from its own earlier stamp.
func TestPassedOnKnowledgeIsNeverTooNew(t *testing.T) {
	from, to := newFeed(t), newFeed(t)
	now := steady.Now()
	proof := now.Add(-400 * time.Millisecond)
	from.takeDocument(document(5, 50), proof, "store")
	from.list.Update(now, nil)
	stampSent := now.Add(-30 * time.Millisecond)
	stampReceived := now.Add(-20 * time.Millisecond) // 10 ms on the way
	to.Import(stampSent, from.Export(stampReceived, 0, 0))
	if to.versionInForce() != 5 {
		t.Fatalf("version %d in force", to.versionInForce())
	}
	if to.Proof().After(proof) || proof.Sub(to.Proof()) > 10*time.Millisecond {
		t.Errorf("proof is %v newer than it was", to.Proof().Sub(proof))
	}
}

func TestExportLeavesOutWhatThePeerHas(t *testing.T) {
	f := newFeed(t)
	now := steady.Now()
	f.takeDocument(document(5, 50), now, "store")
	f.changed(f.list.Update(now, []replica.Replica{{ID: "a"}}))
	revision, digest := f.Has()
	s := f.Export(now, revision, digest)
	if s.ConfigData != nil || s.HasReplicas || s.Replicas != nil {
		t.Errorf("exported again: %+v", s)
	}
	if s = f.Export(now, 0, 0); s.ConfigData == nil || len(s.Replicas) != 1 {
		t.Errorf("left out: %+v", s)
	}
}

func TestNewerReadingWinsAtOneRevision(t *testing.T) {
	f := newFeed(t)
	now := steady.Now()
	old := State{ReplicaRevision: 9, HasReplicas: true, Replicas: []replica.Replica{{ID: "a"}, {ID: "b"}}, ListDigest: 1}
	newer := State{ReplicaRevision: 9, HasReplicas: true, Replicas: []replica.Replica{{ID: "a"}}, ListDigest: 2}
	f.Import(now.Add(time.Second), newer)
	f.Import(now, old)
	if n := len(f.Replicas()); n != 1 {
		t.Errorf("%d replicas, want those of the newer reading", n)
	}
}

type countingStore struct {
	reads int
	err   error
}

func (s *countingStore) Configuration(context.Context) (Document, error) {
	s.reads++
	return document(1, 1), s.err
}

func (s *countingStore) Replicas(context.Context) ([]replica.Replica, int64, error) {
	return nil, 1, s.err
}

func TestFailedReadsLeaveTheProofAlone(t *testing.T) {
	f := newFeed(t)
	f.Store = &countingStore{err: errors.New("down")}
	if err := f.timedRead(t.Context(), f.readConfiguration); err == nil || !f.Proof().IsZero() || f.Catalog() != nil {
		t.Errorf("error %v, proof %v", err, f.Proof())
	}
	f.Store = &countingStore{}
	if err := f.timedRead(t.Context(), f.readConfiguration); err != nil || f.versionInForce() != 1 {
		t.Errorf("error %v, version %d", err, f.versionInForce())
	}
}

func TestPackedDocumentsComeBackWhole(t *testing.T) {
	data := []byte(strings.Repeat(`{"name":"r-2yhvz3p","host":"a.example"},`, 5000))
	packed := pack(data)
	if len(packed) > len(data)/5 {
		t.Errorf("%d bytes for %d", len(packed), len(data))
	}
	if got, err := unpack(packed); err != nil || !bytes.Equal(got, data) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if _, err := unpack(packed[:len(packed)/2]); err == nil {
		t.Error("half a document is taken")
	}
}
