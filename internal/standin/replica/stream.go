package replica

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

// EventCount returns the number of events in the stream of the request with the given ID, 8 to 15.
func EventCount(id string) int {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id)
	return 8 + int(hash.Sum32()%8)
}

// EventText returns the event with the given number, counted from 1, in the stream of the request with the given ID.
func EventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, id, number)
}

// serveStream responds as a model replica: it runs the request on the emulated fleet and streams its events. The
// Token-Usage header gives the length of the prompt, the Helpers header the replicas that prefill parts of it. If the
// request has a Last-Event-Id, the stream resumes after that event; the response is empty if no events remain.
func (p *Replica) serveStream(w http.ResponseWriter, r *http.Request, id string, fault Fault) {
	usage, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	promptTokens, _ := strconv.Atoi(usage)
	lastEvent, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fleetRequest := passes.Request{
		ID: id + "@" + p.ID, Primary: p.ID, PromptTokens: max(promptTokens, 1), EventCount: EventCount(id) - lastEvent,
	}
	for _, h := range helpersOf(r) {
		fleetRequest.Helpers = append(fleetRequest.Helpers, p.EngineNames()[h.address])
		if p.HelperAt != nil {
			p.Log.addPart(id, p.HelperAt(h.address).ID)
		}
	}
	if fleetRequest.EventCount <= 0 {
		w.Header().Set("Response-Signature", Signature(id))
		w.WriteHeader(http.StatusOK)
		return
	}
	events := p.Clock.submit(fleetRequest)
	defer p.Clock.cancel(fleetRequest.ID)
	w.Header().Set("Response-Signature", Signature(id))
	w.Header().Set("Content-Type", "text/event-stream")
	if fault.withoutLength() {
		omitLength(w)
	}
	for {
		select {
		case e := <-events:
			if part, crashes := p.crashingPart(r); crashes {
				p.crash(part)
				panic(http.ErrAbortHandler)
			}
			if fault == FaultKeepAlive && e.Number == 4 {
				sendKeepAlives(w, r)
				return
			}
			if !p.sendEvent(w, fault, e.Number, EventText(id, lastEvent+e.Number)) {
				return
			}
			if e.Last {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// helper is an entry of the Helpers header.
type helper struct {
	address netip.AddrPort
	ticket  string // empty if the entry has none
}

// helpersOf returns the helpers of a request. It ignores entries that can't be read.
func helpersOf(r *http.Request) []helper {
	var helpers []helper
	for _, entry := range strings.Split(r.Header.Get("Helpers"), ",") {
		address, ticket, _ := strings.Cut(entry, "/")
		if parsed, err := netip.ParseAddrPort(address); err == nil {
			helpers = append(helpers, helper{address: parsed, ticket: ticket})
		}
	}
	return helpers
}

// faultyHelper returns the address of a helper of the request that is gone or lacks its ticket, if there is one.
func (p *Replica) faultyHelper(r *http.Request) (string, bool) {
	if p.HelperAt == nil {
		return "", false
	}
	for _, h := range helpersOf(r) {
		if other := p.HelperAt(h.address); other == nil || !other.holds(h.ticket) {
			return h.address.String(), true
		}
	}
	return "", false
}

// sendKeepAlives sends comments until the client closes the connection.
func sendKeepAlives(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		_, _ = io.WriteString(w, KeepAlive)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(keepAliveInterval)
	}
}

// sendEvent sends the event with the given number, counted from 1 in this response, in the way that fault asks for. It
// returns false if the response ends in the middle of the event.
func (p *Replica) sendEvent(w http.ResponseWriter, fault Fault, number int, text string) bool {
	send := func(part string) {
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
	}
	half := len(text) / 2
	switch {
	case fault == FaultSilentStart && number == 1:
		time.Sleep(p.silence())
	case fault == FaultPause && number == 4:
		time.Sleep(FaultPauseDuration)
	case fault == FaultSilentMiddle && number == 3:
		send(text[:half])
		time.Sleep(p.silence())
		text = text[half:]
	case fault == FaultTruncate && number == 3:
		send(text[:half])
		panic(http.ErrAbortHandler)
	case fault.endsInEvent() && number == 3:
		send(text[:half])
		return false
	}
	send(text)
	return true
}
