package engine

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

func (e *Engine) reserve(w http.ResponseWriter, req *http.Request) {
	var body engineapi.Reserve
	if !decode(w, req, &body) {
		return
	}
	attempt := strconv.FormatUint(uint64(body.Attempt), 10)
	id := allocationID(body.Request, attempt, engineapi.KindReservation)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pump()
	if _, gone := e.released[id]; gone || body.Request == "" {
		refuse(w, engineapi.RefusalInvalid, "reservation "+id)
		return
	}
	if e.faults.Leaving {
		refuse(w, engineapi.RefusalLeaving, "reservation "+id)
		return
	}
	now := e.now()
	if err := e.Batch.Reserve(now, id, body.Bytes, e.expiry(now, body.ExpiryMS)); err != nil {
		refuseError(w, err)
		return
	}
	e.owners[id] = body.Owner
	e.pump()
	e.replyAllocation(w, id)
}

// export turns a finished prefill's memory into an export; ?expiry_ms sets its time to live.
func (e *Engine) export(w http.ResponseWriter, req *http.Request) {
	id := pathID(req, engineapi.KindSequence)
	exportID := pathID(req, engineapi.KindExport)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pump()
	r := e.runs[id]
	if r == nil {
		refuse(w, engineapi.RefusalNotFound, "no such sequence")
		return
	}
	if !r.ended() {
		refuse(w, engineapi.RefusalBusy, "the prefill has not ended")
		return
	}
	ms, err := strconv.ParseInt(req.URL.Query().Get("expiry_ms"), 10, 64)
	if err != nil {
		ms = r.ExpiryMS
	}
	now := e.now()
	if err := e.Batch.Export(now, id, exportID, e.expiry(now, ms)); err != nil {
		refuseError(w, err)
		return
	}
	delete(e.owners, id)
	e.owners[exportID] = r.Owner
	e.pump()
	e.replyAllocation(w, exportID)
}

func (e *Engine) replyAllocation(w http.ResponseWriter, id string) {
	for _, a := range e.allocations() {
		if a.ID == id {
			reply(w, http.StatusOK, a)
			return
		}
	}
	refuse(w, engineapi.RefusalNotFound, "allocation "+id)
}

func (e *Engine) listAllocations(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pump()
	reply(w, http.StatusOK, engineapi.Allocations{Allocations: e.allocations()})
}

// allocations lists all memory in ascending order of ids, with the time left of each.
func (e *Engine) allocations() []engineapi.Allocation {
	now := e.now()
	list := []engineapi.Allocation{}
	e.Batch.Each(func(id, kind string, bytes int64, expiry time.Time) {
		var left int64
		if !expiry.IsZero() {
			left = int64(float64(expiry.Sub(now).Milliseconds()) / e.Speed)
		}
		list = append(list, engineapi.Allocation{Owner: e.owners[id], ID: id, Kind: kind, Bytes: bytes, ExpiryMS: left})
	})
	slices.SortFunc(list, func(a, b engineapi.Allocation) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (e *Engine) release(w http.ResponseWriter, req *http.Request) {
	e.freeAndReply(w, req.PathValue("id"))
}

// freeAndReply frees an allocation and remembers its id, so that a late request can't allocate it again.
func (e *Engine) freeAndReply(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pump()
	if e.faults.LoseReleases > 0 {
		e.faults.LoseReleases--
		panic(http.ErrAbortHandler)
	}
	now := e.now()
	bytes := e.Batch.Release(now, id)
	delete(e.owners, id)
	if r := e.runs[id]; r != nil && !r.ended() {
		r.state = stateCanceled
		e.fail(id, r, "canceled")
		r.broadcast()
	}
	e.markReleased(id)
	e.pump()
	reply(w, http.StatusOK, engineapi.Released{ID: id, Bytes: bytes})
}

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

// fail records that an attempt will not get further.
func (e *Engine) fail(id string, r *run, message string) {
	if r.state != stateCanceled {
		r.state = stateFailed
	}
	r.message = message
	e.forgetLater(id, r)
}

// forgetLater drops the record of an ended attempt after the retention time.
func (e *Engine) forgetLater(id string, r *run) {
	time.AfterFunc(retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[id] == r {
			delete(e.runs, id)
		}
	})
}
