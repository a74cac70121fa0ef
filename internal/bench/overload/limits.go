package overload

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/quota"
)

// Documented error bounds of a workspace's limits over a failure domain.
const (
	maxTokenRatio     = 1.05 // highest ratio of used tokens to the tokens that the limit allows
	minTokenRatio     = 0.9  // lowest ratio of the same
	maxInFlightExcess = 7    // requests in flight above the limit: one for each entry host
)

const (
	limitHostCount          = 7
	limitTokensPerMinute    = 600_000
	limitInFlight           = 40
	limitMinutes            = 10
	limitStep               = 10 * time.Millisecond
	limitRequestProbability = 0.15 // probability that a request arrives in a step of limitStep
	requestDuration         = 5 * time.Second
	reportInterval          = time.Second                     // within which each host reports to each other host
	slowReportInterval      = limitHostCount * reportInterval // the same if a host reports to one other host a second
)

// running is a request in progress in the measurement of limits.
type running struct {
	host   int
	tokens int64
	end    time.Time
}

// measureLimits measures what a workspace gets that sends several times its limits through all entry hosts.
func measureLimits(r *report.Report) {
	measureLimit(r, "all hosts told each second", reportInterval)
	measureLimit(r, "one host told each second", slowReportInterval)
}

// measureLimit measures the limits while each host reports what it has admitted to each other host once per interval.
func measureLimit(r *report.Report, name string, interval time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	end := now.Add(limitMinutes * time.Minute)
	hosts := makeLimiters(2 * interval)
	var active []running
	var used int64
	peakInFlight := 0
	for step := 0; now.Before(end); step++ {
		now = now.Add(limitStep)
		active, used = finishRequests(now, hosts, active, used)
		if random.Float64() < limitRequestProbability {
			host, tokens := random.IntN(limitHostCount), 1000+random.Int64N(8000)
			if hosts[host].Admit(now, "w", tokens).OK {
				active = append(active, running{host: host, tokens: tokens / 2, end: now.Add(requestDuration)})
			}
		}
		peakInFlight = max(peakInFlight, len(active))
		reportUsage(now, step, hosts, interval)
	}
	// The token bucket is full at the start, so the limit allows the tokens of one more minute.
	allowed := float64(limitTokensPerMinute * (limitMinutes + 1))
	r.AtMost("workspace_limit", name+", tokens used over allowed", "part", float64(used)/allowed, maxTokenRatio)
	r.AtLeast("workspace_limit", name+", tokens used over allowed", "part", float64(used)/allowed, minTokenRatio)
	r.AtMost("workspace_limit", name+", requests in flight above the limit", "requests",
		float64(peakInFlight-limitInFlight), maxInFlightExcess)
}

func makeLimiters(spread time.Duration) []*quota.Limiter {
	hosts := make([]*quota.Limiter, limitHostCount)
	for i := range hosts {
		hosts[i] = &quota.Limiter{Host: strconv.Itoa(i), Incarnation: 1, HostCount: limitHostCount, PropagationDelay: spread}
		hosts[i].SetLimits([]document.Workspace{{
			Name: "w", TokensPerMinute: limitTokensPerMinute,
			MaxInFlight: limitInFlight,
		}})
	}
	return hosts
}

// finishRequests reports the requests that have ended by now to their hosts' limiters. It returns the requests that are
// still in progress, and used increased by the tokens of those that ended.
func finishRequests(now time.Time, hosts []*quota.Limiter, active []running, used int64) ([]running, int64) {
	remaining := active[:0]
	for _, a := range active {
		if a.end.After(now) {
			remaining = append(remaining, a)
			continue
		}
		hosts[a.host].Done(now, "w", a.tokens)
		used += a.tokens
	}
	return remaining, used
}

// reportUsage merges a host's usage into another host's limiter, once per interval for each pair of hosts. The pairs
// are spread evenly over the steps of the interval.
func reportUsage(now time.Time, step int, hosts []*quota.Limiter, interval time.Duration) {
	slots := int(interval / limitStep)
	for i, from := range hosts {
		for j, to := range hosts {
			if i != j && (step+(i*limitHostCount+j)*slots/(limitHostCount*limitHostCount))%slots == 0 {
				to.Merge(now, from.Usage(now))
			}
		}
	}
}
