package claims

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
)

const (
	commitHosts  = 360
	commitTime   = time.Minute
	storeLatency = 5 * time.Millisecond
	serviceTime  = 200 * time.Millisecond
	outcomeWait  = time.Second // that outcomes of a host are gathered
	claimBytes   = 300         // of a claim with a small answer
	segmentBytes = 64 << 10    // of a bucket's current record when a new one is begun
	homeBuckets  = 16
)

// commits compares ways of writing claims at the rates that two years may bring.
func commits(r *report.Report) {
	for _, rate := range []float64{44, 220, 440} {
		name := map[float64]string{44: "44 orders/s", 220: "220 orders/s", 440: "440 orders/s"}[rate]
		for _, way := range []struct {
			name string
			run  func(float64, *rand.Rand) cost
		}{
			{"a record per claim", single},
			{"outcomes gathered per host", gathered},
			{"buckets with a home host", homes},
		} {
			c := way.run(rate, rand.New(rand.NewPCG(1, uint64(rate))))
			r.Add("claims_commit_writes", way.name+", "+name, "writes/s", c.writes/commitTime.Seconds())
			r.Add("claims_commit_bytes", way.name+", "+name, "bytes/order", c.bytes/float64(c.orders))
			r.Add("claims_commit_delay_p99", way.name+", "+name, "ms", c.delay(0.99).Seconds()*1000)
		}
	}
}

// cost is what a way of writing claims took.
type cost struct {
	orders int
	writes float64
	bytes  float64
	delays []time.Duration // from the wish to claim until the claim stood
}

func (c *cost) delay(quantile float64) time.Duration {
	slices.Sort(c.delays)
	return c.delays[int(quantile*float64(len(c.delays)-1))]
}

// arrivals returns the times of orders within commitTime, in ascending order.
func arrivals(rate float64, rnd *rand.Rand) []time.Duration {
	var times []time.Duration
	for t := 0.0; ; {
		t += rnd.ExpFloat64() / rate
		if t >= commitTime.Seconds() {
			return times
		}
		times = append(times, time.Duration(t*float64(time.Second)))
	}
}

// queue is a store that takes storeWrites writes a second; it returns when a write that was wished at t is done.
type queue struct{ free time.Duration }

func (q *queue) write(t time.Duration) time.Duration {
	start := max(t, q.free)
	q.free = start + time.Duration(float64(time.Second)/storeWrites)
	return start + storeLatency
}

// single writes a record for each claim and writes it again with the outcome.
func single(rate float64, rnd *rand.Rand) cost {
	var c cost
	var q queue
	wishes := make([]time.Duration, 0)
	claims := make(map[time.Duration]bool)
	for _, t := range arrivals(rate, rnd) {
		wishes = append(wishes, t, t+serviceTime)
		claims[t] = true
	}
	slices.Sort(wishes)
	for _, t := range wishes {
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

// gathered writes a record for each claim; a host writes its outcomes of a time together.
func gathered(rate float64, rnd *rand.Rand) cost {
	var c cost
	var q queue
	flushed := make([]time.Duration, commitHosts)
	for _, t := range arrivals(rate, rnd) {
		c.orders++
		c.writes++
		c.bytes += 2 * claimBytes
		c.delays = append(c.delays, q.write(t)-t)
		host := rnd.IntN(commitHosts)
		if t > flushed[host] {
			flushed[host] = t + serviceTime + outcomeWait
			c.writes++
			q.free += time.Duration(float64(time.Second) / storeWrites)
		}
	}
	return c
}

// homes sends claims to the home hosts of their buckets, which write what has gathered whenever the store is free.
func homes(rate float64, rnd *rand.Rand) cost {
	var c cost
	waiting := make([][]time.Duration, homeBuckets) // claims of each bucket
	size := make([]float64, homeBuckets)            // of the bucket's current record
	outcomes := make([]int, homeBuckets)
	times := arrivals(rate, rnd)
	period := time.Duration(float64(time.Second) / storeWrites)
	for t, bucket := time.Duration(0), 0; len(times) > 0 || bucket%homeBuckets != 0; t += period {
		for len(times) > 0 && times[0] <= t {
			b := rnd.IntN(homeBuckets)
			waiting[b] = append(waiting[b], times[0])
			times = times[1:]
		}
		b := bucket % homeBuckets
		bucket++
		if len(waiting[b])+outcomes[b] == 0 {
			continue
		}
		c.writes++
		c.orders += len(waiting[b])
		size[b] += float64(claimBytes * len(waiting[b]))
		c.bytes += size[b]
		for _, wish := range waiting[b] {
			c.delays = append(c.delays, t+storeLatency-wish)
		}
		outcomes[b], waiting[b] = len(waiting[b]), nil
		if size[b] > segmentBytes {
			size[b] = 0
		}
	}
	return c
}
