package engine

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// reserve reserves memory for an attempt and responds with the allocation.
func (e *Engine) reserve(w http.ResponseWriter, req *http.Request) {
	var body engineapi.Reserve
	if !readJSON(w, req, &body) {
		return
	}
	attempt := strconv.FormatUint(uint64(body.Attempt), 10)
	id := allocationID(body.Request, attempt, engineapi.KindReservation)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if _, wasReleased := e.released[id]; wasReleased || body.Request == "" {
		writeRefusal(w, engineapi.RefusalInvalid, "reservation "+id)
		return
	}
	if e.faults.Leaving {
		writeRefusal(w, engineapi.RefusalLeaving, "reservation "+id)
		return
	}
	now := e.now()
	if err := e.Simulation.Reserve(now, id, body.Bytes, e.expiry(now, body.ExpiryMS)); err != nil {
		writeErrorRefusal(w, err)
		return
	}
	e.owners[id] = body.Owner
	e.advance()
	e.replyAllocation(w, id)
}

// export turns the memory of a prefill that has ended into an export and responds with the allocation. ?expiry_ms sets
// the export's time to live; without it, the attempt's is used again.
func (e *Engine) export(w http.ResponseWriter, req *http.Request) {
	id := pathID(req, engineapi.KindSequence)
	exportID := pathID(req, engineapi.KindExport)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	r := e.runs[id]
	if r == nil {
		writeRefusal(w, engineapi.RefusalNotFound, "no such sequence")
		return
	}
	if !r.ended() {
		writeRefusal(w, engineapi.RefusalBusy, "the prefill has not ended")
		return
	}
	ms, err := strconv.ParseInt(req.URL.Query().Get("expiry_ms"), 10, 64)
	if err != nil {
		ms = r.ExpiryMS
	}
	now := e.now()
	if err := e.Simulation.Export(now, id, exportID, e.expiry(now, ms)); err != nil {
		writeErrorRefusal(w, err)
		return
	}
	delete(e.owners, id)
	e.owners[exportID] = r.Owner
	e.advance()
	e.replyAllocation(w, exportID)
}

// replyAllocation responds with the allocation of this id, or refuses if there is none; the caller holds mu.
func (e *Engine) replyAllocation(w http.ResponseWriter, id string) {
	for _, a := range e.allocations() {
		if a.ID == id {
			writeJSON(w, http.StatusOK, a)
			return
		}
	}
	writeRefusal(w, engineapi.RefusalNotFound, "allocation "+id)
}

// listAllocations responds with all allocations.
func (e *Engine) listAllocations(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	writeJSON(w, http.StatusOK, engineapi.Allocations{Allocations: e.allocations()})
}

// allocations returns all allocations in ascending order of their ids, each with its remaining time to live in
// milliseconds of real time. The caller holds mu.
func (e *Engine) allocations() []engineapi.Allocation {
	now := e.now()
	list := []engineapi.Allocation{}
	e.Simulation.EachAllocation(func(id, kind string, bytes int64, expiry time.Time) {
		var ttlMS int64
		if !expiry.IsZero() {
			ttlMS = int64(float64(expiry.Sub(now).Milliseconds()) / e.Speed)
		}
		list = append(list, engineapi.Allocation{Owner: e.owners[id], ID: id, Kind: kind, Bytes: bytes, ExpiryMS: ttlMS})
	})
	slices.SortFunc(list, func(a, b engineapi.Allocation) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// release frees an allocation.
func (e *Engine) release(w http.ResponseWriter, req *http.Request) {
	e.freeAndReply(w, req.PathValue("id"))
}

// freeAndReply frees an allocation, ends the attempt that it belongs to and responds with the bytes freed. It remembers
// the id, so that a delayed request cannot allocate it again. While the LoseReleases fault applies, it drops the
// connection instead and frees nothing.
func (e *Engine) freeAndReply(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	if e.faults.LoseReleases > 0 {
		e.faults.LoseReleases--
		panic(http.ErrAbortHandler)
	}
	now := e.now()
	bytes := e.Simulation.Release(now, id)
	delete(e.owners, id)
	if r := e.runs[id]; r != nil && !r.ended() {
		r.state = stateCanceled
		e.fail(id, r, "canceled")
		r.notifyStreams()
	}
	e.markReleased(id)
	e.advance()
	writeJSON(w, http.StatusOK, engineapi.Released{ID: id, Bytes: bytes})
}

// markReleased remembers a released id. Once 1024 ids are remembered, it forgets those older than the retention time.
// The caller holds mu.
func (e *Engine) markReleased(id string) {
	e.released[id] = time.Now()
	if len(e.released) < 1024 {
		return
	}
	for old, at := range e.released {
		if time.Since(at) > retention {
			delete(e.released, old)
		}
	}
}

// fail records that a run ended without completing its output: it is canceled if the caller has set that state, and
// failed otherwise. The caller holds mu.
func (e *Engine) fail(id string, r *run, message string) {
	if r.state != stateCanceled {
		r.state = stateFailed
	}
	r.message = message
	e.deleteAfterRetention(id, r)
}

// deleteAfterRetention deletes the record of an ended run after the retention time.
func (e *Engine) deleteAfterRetention(id string, r *run) {
	time.AfterFunc(retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[id] == r {
			delete(e.runs, id)
		}
	})
}
