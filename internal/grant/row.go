package grant

import (
	"math"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// demandWindow is the time constant of the decaying averages in demand.
const demandWindow = 30 * time.Second

// rowOutputTokens is the output length of the short prompt whose predicted wait a Row reports.
const rowOutputTokens = 500

type (
	// demand holds decaying averages of prompt tokens per second.
	demand struct {
		at                time.Time // time up to which the averages have decayed
		long              float64   // requested, in long prompts
		notLong           float64   // requested, in other prompts
		grantedUpToMedium float64   // granted to prompts of at most mediumMaxTokens, without their cached tokens
	}
)

// addRequested counts the prompt tokens of a grant request.
func (d *demand) addRequested(now time.Time, tokens int64, long bool) {
	d.decay(now)
	rate := float64(tokens) / demandWindow.Seconds()
	if long {
		d.long += rate
	} else {
		d.notLong += rate
	}
}

// addGranted counts prompt tokens granted to a prompt of at most mediumMaxTokens.
func (d *demand) addGranted(now time.Time, tokens int64) {
	d.decay(now)
	d.grantedUpToMedium += float64(tokens) / demandWindow.Seconds()
}

// decay reduces the averages by the time since the last call.
func (d *demand) decay(now time.Time) {
	factor := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
	d.at, d.long, d.notLong, d.grantedUpToMedium = now, d.long*factor, d.notLong*factor, d.grantedUpToMedium*factor
}

// Row returns a summary of the backend server for the hosts of its failure domain.
func (s *Scheduler) Row(now time.Time) protocol.Row {
	s.advance(now)
	s.demand.decay(now)
	short := &waiter{
		req: protocol.GrantRequest{
			PromptTokens: shortMaxTokens, OutputTokens: rowOutputTokens,
			Class: protocol.ClassInteractive,
		},
		enqueued: now, deadline: now.Add(DefaultTimeLimit),
	}
	short.bytes = s.memoryNeed(short.req)
	row := protocol.Row{
		Server: s.Server.Name, Revision: s.revision, Wait: s.predictedWait(now, short), Backlog: s.prefillAhead(math.MinInt),
		FreeBytes: max(s.load.MemoryBytes-s.usedBytes(), 0), CapacityBytes: s.load.MemoryBytes,
		BytesPerToken: s.load.KVBytesPerToken, Running: len(s.reservations), ForLongPrompts: s.subset.long,
		Leaving: s.load.Leaving, Unhealthy: s.down, Models: s.load.Models,
		PrefillRate: s.prefillRate(""), DecodeRate: s.load.DecodePerSecond,
		LongDemand: s.demand.long, ShortDemand: s.demand.notLong,
	}
	for _, w := range s.waiting {
		row.QueuedTokens += w.req.PromptTokens
		row.Backlog += s.prefillTime(w.req)
	}
	return row
}
