package planner

import (
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/quarantine"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	// A replica that breaks off a response within this time after its first event may have crashed because of a part of
	// the prompt.
	earlyWriting = 500 * time.Millisecond
	// No part of a prompt crashes replicas if a response to it was written for this time.
	soundWriting = time.Second
)

// content returns what identifies the request to the quarantine.
func (req *Request) content() quarantine.Content {
	return quarantine.Content{Parts: req.PromptParts, Request: req.Fingerprint}
}

// writingTime returns the time since the first event of a job, 0 if it hasn't come.
func (j *job) writingTime(now time.Time) time.Duration {
	if !j.decoding {
		return 0
	}
	return now.Sub(j.firstEvent)
}

// RecordOutcome records how an attempt to run the request has ended at server, which had been writing the response for
// the given time. Ended calls it for the planner's own jobs; a host calls it on its local planner for its requests that
// another host's planner placed.
func (p *Planner) RecordOutcome(now time.Time, req *Request, server *replica.Replica, writing time.Duration,
	outcome Outcome,
) {
	switch {
	case outcome == OutcomeCompleted:
		p.quarantine.Alive(now, incarnation(server))
		p.quarantine.Completed(now, req.content())
	case writing >= soundWriting:
		p.quarantine.Completed(now, quarantine.Content{Parts: req.PromptParts})
	}
	if outcome == OutcomeBroken {
		p.quarantine.Crashed(now, quarantine.Crash{
			Content: req.content(),
			Replica: incarnation(server),
			Early:   writing < earlyWriting,
			Host:    req.Host,

			PathLost: p.lostBy(req.Host, server),
		})
	}
}

// incarnation names a replica's incarnation.
func incarnation(r *replica.Replica) string { return r.ID + "/" + strconv.FormatInt(r.Born, 36) }

// Quarantine returns the contents that crash replicas, as far as this planner knows.
func (p *Planner) Quarantine() *quarantine.Table { return p.quarantine }

// SetProbing sets whether this planner lets a request through once the time of a quarantine is over. Only a planner that
// plans for others should, since each one that does may lose a replica.
func (p *Planner) SetProbing(mayProbe bool) { p.mayProbe = mayProbe }
