package grant

import (
	"math"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// demandWindow is the time over which the demand for long and short prompts is averaged.
const demandWindow = 30 * time.Second

// shortOutput is the answer length of the short prompt whose wait a row tells.
const shortOutput = 500

type (
	// demand averages the prompt tokens asked for.
	demand struct {
		at     time.Time
		long   float64 // tokens per second
		short  float64
		urgent float64 // granted to short and middle prompts
	}
)

func (d *demand) add(now time.Time, tokens int64, long bool) {
	d.decay(now)
	rate := float64(tokens) / demandWindow.Seconds()
	if long {
		d.long += rate
	} else {
		d.short += rate
	}
}

func (d *demand) give(now time.Time, tokens int64) {
	d.decay(now)
	d.urgent += float64(tokens) / demandWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	f := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
	d.at, d.long, d.short, d.urgent = now, d.long*f, d.short*f, d.urgent*f
}

// Row summarizes the backend server for the hosts of its failure domain.
func (s *Scheduler) Row(now time.Time) protocol.Row {
	s.advance(now)
	s.demand.decay(now)
	short := &waiter{
		ask:      protocol.Ask{PromptTokens: shortStep, OutputTokens: shortOutput, Class: protocol.ClassInteractive},
		enqueued: now, deadline: now.Add(DefaultTimeLimit),
	}
	short.bytes = s.bytes(short.ask)
	row := protocol.Row{
		Server: s.Server.Name, Revision: s.revision, Wait: s.wait(now, short), Backlog: s.ahead(math.MinInt),
		FreeBytes: max(s.load.MemoryBytes-s.used(), 0), CapacityBytes: s.load.MemoryBytes,
		BytesPerToken: s.load.KVBytesPerToken, Running: len(s.held), Long: s.subset.long,
		Leaving: s.load.Leaving, Unhealthy: s.down, Models: s.load.Models,
		PrefillRate: s.rate(""), DecodeRate: s.load.DecodePerSecond,
		LongDemand: s.demand.long, ShortDemand: s.demand.short,
	}
	for _, w := range s.waiting {
		row.QueuedTokens += w.ask.PromptTokens
		row.Backlog += s.prefill(w.ask)
	}
	return row
}
