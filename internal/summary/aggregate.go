package summary

import (
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// intervalPerAggregate, times the number of stored aggregates, is the shortest time between two sends of the same
// aggregate. Thus the bytes that a host sends do not grow with the number of failure domains and models.
const intervalPerAggregate = 250 * time.Millisecond

// minAggregateInterval is the shortest time between two sends of the same aggregate, however few are stored.
const minAggregateInterval = time.Second

// MergeAggregates stores aggregates of other failure domains. An aggregate is dropped unless it is newer than the one
// that is stored for its failure domain and model.
func (t *Table) MergeAggregates(now time.Time, aggregates []protocol.Aggregate) {
	for _, a := range aggregates {
		createdAt := now.Add(-a.Age)
		a.Age = 0
		i := slices.IndexFunc(t.aggregates, func(r aggregateState) bool {
			return r.aggregate.FailureDomain == a.FailureDomain && r.aggregate.Model == a.Model
		})
		switch {
		case i < 0:
			t.aggregates = append(t.aggregates, aggregateState{aggregate: a, createdAt: createdAt})
		case createdAt.After(t.aggregates[i].createdAt):
			t.aggregates[i].aggregate, t.aggregates[i].createdAt = a, createdAt
		}
	}
}

// RemoteAggregates returns the aggregates of other failure domains with their ages set. It deletes those older than
// retention.
func (t *Table) RemoteAggregates(now time.Time) []protocol.Aggregate {
	t.aggregates = slices.DeleteFunc(t.aggregates, func(r aggregateState) bool { return now.Sub(r.createdAt) > retention })
	aggregates := make([]protocol.Aggregate, len(t.aggregates))
	for i, r := range t.aggregates {
		aggregates[i] = r.aggregate
		aggregates[i].Age = now.Sub(r.createdAt)
	}
	return aggregates
}

// NextAggregates returns at most limit aggregates of other failure domains to send to a peer and counts them as sent.
// It leaves out those whose last send is not long enough ago, as intervalPerAggregate and minAggregateInterval require.
func (t *Table) NextAggregates(now time.Time, limit int) []protocol.Aggregate {
	var picked []protocol.Aggregate
	interval := max(minAggregateInterval, time.Duration(len(t.aggregates))*intervalPerAggregate)
	for i := range t.aggregates {
		r := &t.aggregates[i]
		if len(picked) == limit || now.Sub(r.lastSentAt) < interval {
			continue
		}
		r.lastSentAt = now
		a := r.aggregate
		a.Age = now.Sub(r.createdAt)
		picked = append(picked, a)
	}
	return picked
}

// aggregateState is the newest aggregate of one model in another failure domain, with the time of its last send.
type aggregateState struct {
	aggregate  protocol.Aggregate
	createdAt  time.Time // when the aggregate was made
	lastSentAt time.Time
}
