package claims

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
)

const (
	commitHostCount   = 360
	commitRunTime     = time.Minute
	storeLatency      = 5 * time.Millisecond
	serviceTime       = 200 * time.Millisecond
	outcomeBatchDelay = time.Second // how long a host collects outcomes before it writes them
	claimBytes        = 300         // size of a claim with a small response
	segmentBytes      = 64 << 10    // size above which a bucket's current record is replaced by a new one
	bucketCount       = 16
)

// compareCommits compares strategies for writing claims at the order rates that may be reached within two years.
func compareCommits(r *report.Report) {
	for _, rate := range []float64{44, 220, 440} {
		name := map[float64]string{44: "44 orders/s", 220: "220 orders/s", 440: "440 orders/s"}[rate]
		for _, strategy := range []struct {
			name string
			run  func(float64, *rand.Rand) cost
		}{
			{"a record per claim", writeSingly},
			{"outcomes gathered per host", batchOutcomes},
			{"buckets with a home host", batchByBucket},
		} {
			c := strategy.run(rate, rand.New(rand.NewPCG(1, uint64(rate))))
			r.Add("claims_commit_writes", strategy.name+", "+name, "writes/s", c.writes/commitRunTime.Seconds())
			r.Add("claims_commit_bytes", strategy.name+", "+name, "bytes/order", c.bytes/float64(c.orders))
			r.Add("claims_commit_delay_p99", strategy.name+", "+name, "ms", c.delay(0.99).Seconds()*1000)
		}
	}
}

// cost holds what a strategy for writing claims takes.
type cost struct {
	orders int
	writes float64
	bytes  float64
	delays []time.Duration // from the request for a claim until the claim is stored
}

// delay returns the given quantile of the delays.
func (c *cost) delay(quantile float64) time.Duration {
	slices.Sort(c.delays)
	return c.delays[int(quantile*float64(len(c.delays)-1))]
}

// arrivals returns the arrival times of orders within commitRunTime, in ascending order.
func arrivals(rate float64, rnd *rand.Rand) []time.Duration {
	var times []time.Duration
	for t := 0.0; ; {
		t += rnd.ExpFloat64() / rate
		if t >= commitRunTime.Seconds() {
			return times
		}
		times = append(times, time.Duration(t*float64(time.Second)))
	}
}

// storeQueue models a store that executes storeWriteRate writes a second, one after the other.
type storeQueue struct{ freeAt time.Duration }

// write queues a write that is requested at t and returns when it is done.
func (q *storeQueue) write(t time.Duration) time.Duration {
	start := max(t, q.freeAt)
	q.freeAt = start + time.Duration(float64(time.Second)/storeWriteRate)
	return start + storeLatency
}

// writeSingly writes a record for each claim and rewrites it with the outcome.
func writeSingly(rate float64, rnd *rand.Rand) cost {
	var c cost
	var q storeQueue
	writeTimes := make([]time.Duration, 0)
	claims := make(map[time.Duration]bool)
	for _, t := range arrivals(rate, rnd) {
		writeTimes = append(writeTimes, t, t+serviceTime)
		claims[t] = true
	}
	slices.Sort(writeTimes)
	for _, t := range writeTimes {
		done := q.write(t)
		c.writes++
		if claims[t] {
			c.orders++
			c.bytes += 2 * claimBytes
			c.delays = append(c.delays, done-t)
		}
	}
	return c
}

// batchOutcomes writes a record for each claim. A host collects its outcomes for outcomeBatchDelay and writes them with
// one call.
func batchOutcomes(rate float64, rnd *rand.Rand) cost {
	var c cost
	var q storeQueue
	nextFlush := make([]time.Duration, commitHostCount)
	for _, t := range arrivals(rate, rnd) {
		c.orders++
		c.writes++
		c.bytes += 2 * claimBytes
		c.delays = append(c.delays, q.write(t)-t)
		host := rnd.IntN(commitHostCount)
		if t > nextFlush[host] {
			nextFlush[host] = t + serviceTime + outcomeBatchDelay
			c.writes++
			q.freeAt += time.Duration(float64(time.Second) / storeWriteRate)
		}
	}
	return c
}

// batchByBucket sends each claim to the home host of its bucket. The buckets take turns to write the claims and
// outcomes that they have collected, one write whenever the store is free.
func batchByBucket(rate float64, rnd *rand.Rand) cost {
	var c cost
	waiting := make([][]time.Duration, bucketCount) // request times of the claims that each bucket has collected
	size := make([]float64, bucketCount)            // size of each bucket's current record in bytes
	outcomes := make([]int, bucketCount)
	times := arrivals(rate, rnd)
	period := time.Duration(float64(time.Second) / storeWriteRate)
	for t, bucket := time.Duration(0), 0; len(times) > 0 || bucket%bucketCount != 0; t += period {
		for len(times) > 0 && times[0] <= t {
			b := rnd.IntN(bucketCount)
			waiting[b] = append(waiting[b], times[0])
			times = times[1:]
		}
		b := bucket % bucketCount
		bucket++
		if len(waiting[b])+outcomes[b] == 0 {
			continue
		}
		c.writes++
		c.orders += len(waiting[b])
		size[b] += float64(claimBytes * len(waiting[b]))
		c.bytes += size[b]
		for _, requested := range waiting[b] {
			c.delays = append(c.delays, t+storeLatency-requested)
		}
		outcomes[b], waiting[b] = len(waiting[b]), nil
		if size[b] > segmentBytes {
			size[b] = 0
		}
	}
	return c
}
