package feed

import (
	"bytes"
	"context"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/evacuation"
	"github.com/turmericshunt/turmericshunt/internal/eventlog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
)

const testEvacuationTime = 5 * time.Second

// newEvacuationCache returns a cache that obeys evacuations, reads from store and takes *now for the time.
func newEvacuationCache(t *testing.T, store Store, now *time.Time) *Cache {
	t.Helper()
	c := newCache(t)
	c.Store, c.EvacuationTime = store, testEvacuationTime
	c.now = func() time.Time { return *now }
	return c
}

func (c *Cache) mustRead(t *testing.T) {
	t.Helper()
	if err := c.readConfiguration(context.Background()); err != nil {
		t.Fatal(err)
	}
}

func evacuated(era, number int64, domains ...string) evacuation.Set {
	return evacuation.New(domains, revision.New(era, number), time.Time{})
}

// One call gives the configuration and the evacuations. Guards against a verified time that is later than the start of the
// read, and against evacuations that count as read when the response came.
func TestConfigurationAndEvacuationsAreOfOneRead(t *testing.T) {
	started := time.Unix(1000, 0)
	now := started
	store := &fakeStore{evacuated: evacuated(0, 7, "b")}
	c := newEvacuationCache(t, store, &now)
	calls := 0
	c.now = func() time.Time { // the clock goes on during the read
		calls++
		return started.Add(time.Duration(calls-1) * 300 * time.Millisecond)
	}
	c.mustRead(t)
	if got := c.Evacuated(); !got.Has("b") || !got.ReadAt.Equal(started) || !c.activeVerifiedAt().Equal(started) {
		t.Errorf("%+v evacuated, verified %v after the start of the read", got, c.activeVerifiedAt().Sub(started))
	}
	if store.reads != 1 {
		t.Errorf("%d calls", store.reads)
	}
}

// A host learns evacuations with its first configuration from another one, and a host of an earlier version neither sends
// nor ends any. Guards against states in which the set is lost, and against an end that nobody has read.
func TestEvacuationsAreExchanged(t *testing.T) {
	now := time.Unix(1000, 0)
	from, to := newEvacuationCache(t, &fakeStore{evacuated: evacuated(0, 7, "b")}, &now), newEvacuationCache(t, nil, &now)
	from.mustRead(t)
	transmit := func(s State) State { // as link does
		data, err := cbor.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var received State
		if err := cbor.Unmarshal(data, &received); err != nil {
			t.Fatal(err)
		}
		return received
	}
	to.Import(now.Add(-10*time.Millisecond), transmit(from.Export(now, Versions{})))
	if got := to.Evacuated(); to.activeVersion() != 1 || !got.Has("b") || got.ReadAt.After(now) ||
		got.Revision != revision.New(0, 7) {
		t.Errorf("version %d, %+v evacuated", to.activeVersion(), got)
	}
	old := from.Export(now, Versions{})
	old.Evacuated, old.EvacuationRevision, old.EvacuationEra, old.EvacuationRead = nil, 0, 0, 0
	to.Import(now, transmit(old))
	if got := to.Evacuated(); !got.Has("b") {
		t.Error("a host that sends no evacuations has ended one")
	}
	from.Store = &fakeStore{evacuated: evacuated(0, 8)}
	now = now.Add(time.Second)
	from.mustRead(t)
	to.Import(now, transmit(from.Export(now, to.Versions())))
	if got := to.Evacuated(); got.Has("b") {
		t.Error("the end of the evacuation didn't arrive")
	}
}

// Guards against evacuations that a host without the setting obeys or passes on.
func TestEvacuationsWithoutSettingAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newEvacuationCache(t, &fakeStore{evacuated: evacuated(0, 7, "b")}, &now)
	c.EvacuationTime = 0
	c.mustRead(t)
	if s := c.Export(now, Versions{}); c.Evacuated().IsKnown() || s.EvacuationRevision != 0 || s.Evacuated != nil {
		t.Errorf("%+v evacuated, %v exported", c.Evacuated(), s.Evacuated)
	}
}

// The store is restored from a copy without the key. Guards against the end of an evacuation before the operator has had
// the time to write it again, at a host that reads the store and at one that hears of it, and against one that never ends.
func TestRestoredStoreEndsNoEvacuation(t *testing.T) {
	now := time.Unix(1000, 0)
	store := &fakeStore{evacuated: evacuated(0, 70, "b")}
	reader, listener := newEvacuationCache(t, store, &now), newEvacuationCache(t, nil, &now)
	exchange := func() {
		reader.mustRead(t)
		listener.Import(now, reader.Export(now, listener.Versions()))
	}
	exchange()
	store.evacuated, store.era = evacuated(1, 60), 1
	noticed := now.Add(time.Second)
	for now = noticed; now.Sub(noticed) < rewriteTime; now = now.Add(100 * time.Millisecond) {
		exchange()
		if !reader.Evacuated().Has("b") || !listener.Evacuated().Has("b") {
			t.Fatalf("the evacuation has ended %v after the restore", now.Sub(noticed))
		}
	}
	exchange()
	if reader.Evacuated().Has("b") || listener.Evacuated().Has("b") {
		t.Error("the evacuation has not ended although the operator didn't write it again")
	}
}

// Guards against a host whose peers send the configuration, but no evacuations, and which therefore never reads them.
func TestHostReadsEvacuationsThatPeersDoNotSend(t *testing.T) {
	now := time.Unix(1000, 0)
	store := &fakeStore{evacuated: evacuated(0, 7, "b")}
	c := newEvacuationCache(t, store, &now)
	c.applyDocument(document(1, 1), now, "peer")
	if age := c.stateAge(); age != math.MaxInt64 {
		t.Errorf("age %v before the first read", age)
	}
	c.mustRead(t)
	for range 100 { // a peer sends the configuration only
		now = now.Add(100 * time.Millisecond)
		c.applyDocument(document(1, 1), now, "peer")
		if c.stateAge() == math.MaxInt64 {
			break
		}
	}
	if d := now.Sub(time.Unix(1000, 0)); d > testEvacuationTime/2 {
		t.Errorf("read again after %v", d)
	}
	c.EvacuationTime = 0
	if age := c.stateAge(); age != 0 {
		t.Errorf("age %v at a host that reads no evacuations", age)
	}
}

// Guards against an evacuation that has no effect unnoticed, since its failure domain has a wrong name, and against a warning
// about one that has a region or replicas.
func TestUnknownFailureDomainIsLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	var out bytes.Buffer
	c := newEvacuationCache(t, &fakeStore{evacuated: evacuated(0, 7, "a", "b", "x")}, &now)
	c.Log = eventlog.New(&out, "h")
	scope := tally.NewTestScope("", nil)
	c.Metrics = scope
	c.Regions = map[string]string{"a": "north"}
	c.mustRead(t)
	if unknown := c.UnknownEvacuated(); unknown != nil {
		t.Errorf("%v unknown before replicas are known", unknown)
	}
	for range 2 {
		c.replicasReadAt = now
		c.applyChanges(c.replicaList.Update(now, 0, []replica.Replica{{ID: "1", FailureDomain: "b"}}), sourceStore)
		c.mustRead(t)
	}
	c.Log.Close()
	if unknown := c.UnknownEvacuated(); !slices.Equal(unknown, []string{"x"}) {
		t.Errorf("%v unknown, want x", unknown)
	}
	if n := strings.Count(out.String(), `"evacuation_unknown_domain"`); n != 1 || strings.Count(out.String(), "evacuation_started") != 3 {
		t.Errorf("%d warnings, want 1: %s", n, out.String())
	}
	if !c.IsEvacuated(replica.Replica{FailureDomain: "b"}) || c.IsEvacuated(replica.Replica{FailureDomain: "c"}) {
		t.Error("wrong failure domain in use")
	}
	if !c.IsEvacuatedID("1") || !c.IsEvacuatedID("unknown") {
		t.Error("a helper of an evacuated or unknown failure domain may be used")
	}
	if g := scope.Snapshot().Gauges()["evacuated_failure_domains+"]; g == nil || g.Value() != 3 {
		t.Errorf("gauge %v, want 3", g)
	}
}

// Guards against a host that was frozen since before an evacuation and sends, when it goes on, what it was about to send; and
// against delays at one that only is busy, or that is cut off.
func TestFrozenHostWaitsForEvacuations(t *testing.T) {
	now := time.Unix(1000, 0)
	store := &fakeStore{evacuated: evacuated(0, 7)}
	c := newEvacuationCache(t, store, &now)
	c.look()
	c.mustRead(t)
	run := func(d time.Duration) { // the host runs on
		for end := now.Add(d); now.Before(end); now = now.Add(agePollInterval) {
			c.look()
		}
	}
	run(2 * testEvacuationTime)
	if c.thaws() {
		t.Error("a host that is cut off waits")
	}
	c.mustRead(t)
	now = now.Add(2 * freezeTime)
	if c.thaws() {
		t.Error("a host that was frozen for less than the evacuation time waits")
	}
	now = now.Add(testEvacuationTime)
	for _, when := range []string{"before it looks at the time", "after that"} {
		if !c.thaws() {
			t.Errorf("a host that was frozen doesn't wait %s", when)
		}
		c.look()
	}
	store.evacuated = evacuated(0, 8, "b")
	c.mustRead(t)
	if c.thaws() || !c.Evacuated().Has("b") {
		t.Error("the host waits although it knows")
	}
	now = now.Add(2 * testEvacuationTime)
	run(thawTime + agePollInterval)
	if c.thaws() {
		t.Errorf("a host that learns nothing waits for longer than %v", thawTime)
	}
}
