package feed

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/internal/revision"
)

func eraDocument(version, era, number int64) Document {
	return Document{Data: []byte(strconv.FormatInt(version, 10)), Revision: revision.New(era, number)}
}

// readAt applies a document that the host has read from the store at now.
func (c *Cache) readAt(now time.Time, doc Document) {
	c.observeRead(now, doc.Revision.Era)
	c.applyDocument(doc, c.verifiedBy(now), "store")
}

// The store loses version 8 with a restore. The version before it is not taken as the newest one until the operator has
// had the time to write again, and the configuration never goes back.
func TestRestoredStoreVerifiesNothingUntilRewritten(t *testing.T) {
	c := newCache(t)
	now := time.Unix(1000, 0)
	c.now = func() time.Time { return now }
	c.readAt(now, eraDocument(7, 1, 70))
	if !c.activeVerifiedAt().IsZero() {
		t.Error("the first read of an era that may have just begun verifies the configuration")
	}
	now = now.Add(rewriteTime)
	verified := now
	c.readAt(now, eraDocument(7, 1, 70))
	now = now.Add(time.Second)
	c.readAt(now, eraDocument(7, 2, 60))
	if !c.activeVerifiedAt().Equal(verified) || c.activeVersion() != 7 {
		t.Errorf("verified %v after the last proof before the restore", c.activeVerifiedAt().Sub(verified))
	}
	now = now.Add(time.Second)
	c.readAt(now, eraDocument(8, 2, 61))
	c.readAt(now, eraDocument(7, 2, 60))
	c.readAt(now, eraDocument(9, 1, 90))
	if c.activeVersion() != 9 || !c.activeVerifiedAt().Equal(verified) {
		t.Errorf("version %d, verified %v after the last proof", c.activeVersion(), c.activeVerifiedAt().Sub(verified))
	}
	now = now.Add(rewriteTime)
	c.readAt(now, eraDocument(9, 2, 62))
	if !c.activeVerifiedAt().Equal(now) {
		t.Errorf("verified %v before the read, want at the read", now.Sub(c.activeVerifiedAt()))
	}
}

// world is a store that is restored from older copies, its operator, and hosts that read it and exchange what they know.
type world struct {
	now          time.Time
	version      int64       // newest version that the operator wrote
	acknowledged []time.Time // when the store acknowledged each version, by version; zero for 0
	era, number  int64
	stored       Document // what the store holds
	copied       Document // what the copy of the store holds
	copiedNumber int64
	rewriteAt    time.Time // when the operator writes the newest version again; zero if the store has it
	hosts        []*Cache
	versions     []int64 // highest version that each host had in this incarnation
	inTransit    []func()
}

func (w *world) write(version int64) {
	w.number++
	w.stored = eraDocument(version, w.era, w.number)
}

func (w *world) restart(t *testing.T, i int) {
	w.hosts[i] = newCache(t)
	w.hosts[i].now = func() time.Time { return w.now }
	w.versions[i] = 0
}

// step does one random thing.
func (w *world) step(t *testing.T, r *rapid.T) {
	host := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(r, "host")]
	switch rapid.IntRange(0, 8).Draw(r, "step") {
	case 0: // the operator writes a version
		if w.rewriteAt.IsZero() {
			w.version++
			w.write(w.version)
			w.acknowledged = append(w.acknowledged, w.now)
		}
	case 1:
		w.copied, w.copiedNumber = w.stored, w.number
	case 2:
		w.era++
		w.number = w.copiedNumber
		w.stored = w.copied
		w.stored.Revision.Era = w.era
		if string(w.stored.Data) != strconv.FormatInt(w.version, 10) {
			w.rewriteAt = w.now.Add(time.Duration(rapid.IntRange(0, 1999).Draw(r, "rewrite_ms")) * time.Millisecond)
		}
	case 3, 4: // a host reads the store; the response comes at once or later
		doc, startedAt := w.stored, w.now
		arrive := func() {
			host.observeRead(w.now, doc.Revision.Era)
			host.applyDocument(doc, host.verifiedBy(startedAt), "store")
		}
		w.deliver(r, arrive)
	case 5, 6: // a host sends its state to another
		to := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(r, "to")]
		base := w.now // of the sender; the receiver's is earlier
		state := host.Export(base, to.Versions())
		w.deliver(r, func() { to.Import(base, state) })
	case 7:
		if len(w.inTransit) > 0 {
			i := rapid.IntRange(0, len(w.inTransit)-1).Draw(r, "arriving")
			arrive := w.inTransit[i]
			w.inTransit = append(w.inTransit[:i], w.inTransit[i+1:]...)
			arrive()
		}
	case 8:
		w.restart(t, rapid.IntRange(0, len(w.hosts)-1).Draw(r, "restarted"))
	}
	w.advance(time.Duration(rapid.IntRange(0, 900).Draw(r, "pause_ms")) * time.Millisecond)
}

func (w *world) deliver(r *rapid.T, arrive func()) {
	if rapid.Bool().Draw(r, "late") {
		w.inTransit = append(w.inTransit, arrive)
		return
	}
	arrive()
}

// advance lets time pass; the operator writes again what the store has lost once it is due.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	if !w.rewriteAt.IsZero() && !w.now.Before(w.rewriteAt) {
		w.rewriteAt = time.Time{}
		w.write(w.version)
	}
}

// check returns what is wrong with a host, or "".
func (w *world) check(i int) string {
	h := w.hosts[i]
	version := h.activeVersion()
	if version < w.versions[i] {
		return fmt.Sprintf("host %d went back from version %d to %d", i, w.versions[i], version)
	}
	w.versions[i] = version
	for newer := version + 1; newer < int64(len(w.acknowledged)) && version > 0; newer++ {
		if acknowledged := w.acknowledged[newer]; !h.activeVerifiedAt().Before(acknowledged.Add(time.Nanosecond)) {
			return fmt.Sprintf("host %d takes version %d for the newest at %v, but %d was acknowledged at %v", i, version,
				h.activeVerifiedAt(), newer, acknowledged)
		}
	}
	return ""
}

// No host goes back to an earlier version, and none takes a version for the newest at a time at which the store had
// acknowledged a newer one, whatever restores, restarts and late messages come in between.
func TestRestoresNeverVouchForLostVersions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := &world{now: time.Unix(1000, 0), acknowledged: make([]time.Time, 1)}
		w.era = int64(rapid.IntRange(0, 1).Draw(r, "era"))
		w.hosts, w.versions = make([]*Cache, 3), make([]int64, 3)
		for i := range w.hosts {
			w.restart(t, i)
		}
		w.version = 1
		w.write(1)
		w.acknowledged = append(w.acknowledged, w.now)
		w.copied, w.copiedNumber = w.stored, w.number
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			w.step(t, r)
			for i := range w.hosts {
				if wrong := w.check(i); wrong != "" {
					r.Fatal(wrong)
				}
			}
		}
	})
}
