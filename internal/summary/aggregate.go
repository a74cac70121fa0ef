package summary

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// A host passes the aggregate of another failure domain on after this time for each aggregate there is, so that their
// bytes don't grow with the number of failure domains and models.
const aggregateShare = 250 * time.Millisecond

const minAggregateInterval = time.Second

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
			b.remote[i].aggregate, b.remote[i].made = a, made
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

// PickAggregates returns at most limit aggregates of other failure domains to pass on, each after an interval only.
func (b *Board) PickAggregates(now time.Time, limit int) []protocol.Aggregate {
	var picked []protocol.Aggregate
	interval := max(minAggregateInterval, time.Duration(len(b.remote))*aggregateShare)
	for i := range b.remote {
		r := &b.remote[i]
		if len(picked) == limit || now.Sub(r.picked) < interval {
			continue
		}
		r.picked = now
		a := r.aggregate
		a.Age = now.Sub(r.made)
		picked = append(picked, a)
	}
	return picked
}

type remote struct {
	aggregate protocol.Aggregate
	made      time.Time
	picked    time.Time
}
