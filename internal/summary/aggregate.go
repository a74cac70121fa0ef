package summary

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// Aggregates sums rows up into one aggregate for each model, for the hosts of other failure domains.
func Aggregates(failureDomain, region string, rows []protocol.Row) []protocol.Aggregate {
	var all []protocol.Aggregate
	for i := range rows {
		if rows[i].Leaving || rows[i].Unhealthy {
			continue
		}
		for _, model := range rows[i].Models {
			all = add(all, protocol.Aggregate{FailureDomain: failureDomain, Region: region, Model: model}, &rows[i])
		}
	}
	return all
}

func add(all []protocol.Aggregate, empty protocol.Aggregate, row *protocol.Row) []protocol.Aggregate {
	i := slices.IndexFunc(all, func(a protocol.Aggregate) bool { return a.Model == empty.Model })
	if i < 0 {
		empty.BestWait = row.Wait
		all = append(all, empty)
		i = len(all) - 1
	}
	a := &all[i]
	a.Servers++
	a.BestWait = min(a.BestWait, row.Wait)
	a.MaxFreeBytes = max(a.MaxFreeBytes, row.FreeBytes)
	a.FreeBytes += row.FreeBytes
	return all
}

// PostAggregates takes in aggregates of other failure domains; older ones are dropped.
func (b *Board) PostAggregates(now time.Time, aggregates []protocol.Aggregate) {
	for _, a := range aggregates {
		made := now.Add(-a.Age)
		a.Age = 0
		i := slices.IndexFunc(b.remote, func(r remote) bool {
			return r.aggregate.FailureDomain == a.FailureDomain && r.aggregate.Model == a.Model
		})
		switch {
		case i < 0:
			b.remote = append(b.remote, remote{aggregate: a, made: made})
		case made.After(b.remote[i].made):
			b.remote[i] = remote{aggregate: a, made: made}
		}
	}
}

// RemoteAggregates returns the aggregates of other failure domains with their age set.
func (b *Board) RemoteAggregates(now time.Time) []protocol.Aggregate {
	b.remote = slices.DeleteFunc(b.remote, func(r remote) bool { return now.Sub(r.made) > forgetAfter })
	aggregates := make([]protocol.Aggregate, len(b.remote))
	for i, r := range b.remote {
		aggregates[i] = r.aggregate
		aggregates[i].Age = now.Sub(r.made)
	}
	return aggregates
}

type remote struct {
	aggregate protocol.Aggregate
	made      time.Time
}
