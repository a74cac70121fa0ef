package overload

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/quota"
)

// The stated error of the limits over a failure domain.
const (
	tokensTarget   = 1.05 // of the tokens that the limit allows
	tokensLeast    = 0.9
	inFlightTarget = 7 // requests above the limit, one for each entry host
)

const (
	limitHosts   = 7
	limitTokens  = 600_000
	limitFlight  = 40
	limitMinutes = 10
	limitStep    = 10 * time.Millisecond
	limitRate    = 0.15 // requests of each step
	requestTime  = 5 * time.Second
	spreadEvery  = time.Second
	slowSpread   = limitHosts * spreadEvery
)

// running is one request of the measurement of limits.
type running struct {
	host   int
	tokens int64
	end    time.Time
}

// limits measures what a workspace gets that asks for several times its limits through all entry hosts.
func limits(r *report.Report) {
	limit(r, "all hosts told each second", spreadEvery)
	limit(r, "one host told each second", slowSpread)
}

// limit measures with hosts that tell all others what they have admitted within the time given.
func limit(r *report.Report, name string, every time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	end := now.Add(limitMinutes * time.Minute)
	hosts := makeLimiters(2 * every)
	var active []running
	var used int64
	most := 0
	for step := 0; now.Before(end); step++ {
		now = now.Add(limitStep)
		active, used = finish(now, hosts, active, used)
		if random.Float64() < limitRate {
			host, tokens := random.IntN(limitHosts), 1000+random.Int64N(8000)
			if hosts[host].Admit(now, "w", tokens).OK {
				active = append(active, running{host: host, tokens: tokens / 2, end: now.Add(requestTime)})
			}
		}
		most = max(most, len(active))
		tell(now, step, hosts, every)
	}
	// The bucket is full at the start, so the limit allows one more minute's tokens.
	allowed := float64(limitTokens * (limitMinutes + 1))
	r.AtMost("workspace_limit", name+", tokens used over allowed", "part", float64(used)/allowed, tokensTarget)
	r.AtLeast("workspace_limit", name+", tokens used over allowed", "part", float64(used)/allowed, tokensLeast)
	r.AtMost("workspace_limit", name+", requests in flight above the limit", "requests", float64(most-limitFlight), inFlightTarget)
}

func makeLimiters(spread time.Duration) []*quota.Limiter {
	hosts := make([]*quota.Limiter, limitHosts)
	for i := range hosts {
		hosts[i] = &quota.Limiter{Host: strconv.Itoa(i), Incarnation: 1, Hosts: limitHosts, Spread: spread}
		hosts[i].Set([]document.Workspace{{Name: "w", TokensPerMinute: limitTokens, MaxInFlight: limitFlight}})
	}
	return hosts
}

func finish(now time.Time, hosts []*quota.Limiter, active []running, used int64) ([]running, int64) {
	kept := active[:0]
	for _, a := range active {
		if a.end.After(now) {
			kept = append(kept, a)
			continue
		}
		hosts[a.host].Done(now, "w", a.tokens)
		used += a.tokens
	}
	return kept, used
}

// tell lets each host tell each other host once in every.
func tell(now time.Time, step int, hosts []*quota.Limiter, every time.Duration) {
	slots := int(every / limitStep)
	for i, from := range hosts {
		for j, to := range hosts {
			if i != j && (step+(i*limitHosts+j)*slots/(limitHosts*limitHosts))%slots == 0 {
				to.Merge(now, from.Usage(now))
			}
		}
	}
}
