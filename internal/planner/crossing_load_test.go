package planner_test

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/pass"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

const (
	domainCount      = 3
	enginesPerDomain = 6
	roundTrip        = 8800 * time.Microsecond // between failure domains
	bytesPerToken    = 4
	bytesPerEvent    = 300
	// The price of these tests, by which a typical short prompt costs 0.03 of a value of 1.3 if it crosses.
	crossingPrice = 1000.0
)

// crossingLoad is a load on engines in three failure domains.
type crossingLoad struct {
	name   string
	phases [domainCount][]phase // of the requests of each domain's hosts
	slow   float64              // slowdown of the engines of the last domain; 0 for none
	lost   time.Duration        // when the replicas of the last domain are lost; 0 for never
	back   time.Duration        // when they are back
}

// third returns factors of the classes' rates, of which each failure domain has a third.
func third(quick, review, dossier float64) [3]float64 {
	return [3]float64{quick / domainCount, review / domainCount, dossier / domainCount}
}

// crossingLoads are those that the requirements name.
func crossingLoads() []crossingLoad {
	const length = 24 * time.Second
	even := []phase{{length, third(1.2, 1.2, 1.8)}}
	waves := func(shift int) []phase {
		wave := []phase{{4 * time.Second, third(0.5, 1, 4.5)}, {4 * time.Second, third(3, 1, 0.3)}, {4 * time.Second, third(0.8, 1, 0.6)}}
		var all []phase
		for i := range 6 {
			all = append(all, wave[(i+shift)%len(wave)])
		}
		return all
	}
	burst := []phase{{8 * time.Second, third(0.8, 0.8, 0.8)}, {8 * time.Second, third(4, 2, 14)}, {8 * time.Second, third(0.8, 0.8, 0.8)}}
	quiet := []phase{{length, third(0.8, 0.8, 0.8)}}
	return []crossingLoad{
		{name: "waves", phases: [domainCount][]phase{waves(0), waves(1), waves(2)}},
		{name: "a third lost", phases: [domainCount][]phase{even, even, even}, lost: 8 * time.Second, back: 16 * time.Second},
		{name: "burst in one", phases: [domainCount][]phase{burst, quiet, quiet}},
		{name: "slow in one", phases: [domainCount][]phase{even, even, even}, slow: 2},
	}
}

func domainName(i int) string { return string(rune('a' + i)) }

// crossingArrivals returns the arrivals of a load and the domain of each request's host, by ID.
func crossingArrivals(seed uint64, load *crossingLoad) ([]*request, map[string]string) {
	var all []*request
	domains := make(map[string]string)
	for d := range domainCount {
		for _, r := range arrivals(seed*domainCount+uint64(d), load.phases[d]) {
			r.id = domainName(d) + "-" + r.id
			domains[r.id] = domainName(d)
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *request) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.id, b.id))
	})
	return all, domains
}

// domainReplicas returns the replicas of the domains, which have started at the given time.
func domainReplicas(domains string, born int64) []replica.Replica {
	var list []replica.Replica
	for _, d := range domains {
		for i := range enginesPerDomain {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d), 1, byte(i)}), 8080)
			list = append(list, replica.Replica{
				ID: fmt.Sprintf("%c-%02d", d, i), Service: "llm", Slots: slots, Address: address,
				FailureDomain: string(d), Born: born,
			})
		}
	}
	return list
}

// crossingPolicy decides with one planner for all domains or one for each, and to which planner a request goes.
type crossingPolicy struct {
	name   string
	joint  bool                                                // one planner plans for all domains
	price  float64                                             // of the joint planner
	target func(w *crossingWorld, r *request, d string) string // domain of the planner of a request; nil for its own
}

// spillAt sends requests to the domain with the most free slots once this share of the slots of their own is taken.
const spillAt = 0.7

func crossingPolicies() []crossingPolicy {
	return []crossingPolicy{
		{name: "by cost", joint: true, price: crossingPrice},
		{name: "all alike", joint: true},
		{name: "own only"},
		{name: "at a threshold", target: func(w *crossingWorld, _ *request, d string) string {
			if w.slotShare(d) < spillAt {
				return d
			}
			best := d
			for i := range domainCount {
				if w.slotShare(domainName(i)) < w.slotShare(best) {
					best = domainName(i)
				}
			}
			return best
		}},
	}
}

// report is what a planner hears of a request with a delay.
type report struct {
	at    time.Time
	apply func(now time.Time)
}

// crossingWorld runs requests on engines in three failure domains under a policy.
type crossingWorld struct {
	load        *crossingLoad
	policy      *crossingPolicy
	reportDelay time.Duration
	changeAt    time.Duration // when another planner takes over; 0 for never

	planners map[string]*planner.Planner // by domain; by "" a joint one
	fleet    *passes.Fleet
	byID     map[string]*request
	domains  map[string]string // of each request's host
	planned  map[string]string // domain of the planner that has each request
	running  map[string]int    // placed requests, by domain
	reports  []report
	lost     bool
	moves    []move
	bytes    int
	broken   []*request // by the loss of the domain
}

// move is a request that was placed in another domain than its host's.
type move struct {
	at       time.Duration
	from, to string
}

func (w *crossingWorld) newPlanner(domains string, born int64) *planner.Planner {
	p := planner.New(uint64(born))
	p.SetEngines(map[string]*catalog.EngineParams{"llm": engineParams})
	p.SetCrossingPrice(w.policy.price)
	p.SetReplicas(loadStart, domainReplicas(domains, born))
	return p
}

func (w *crossingWorld) init() {
	w.planners = make(map[string]*planner.Planner)
	if w.policy.joint {
		w.planners[""] = w.newPlanner("abc", 1)
	} else {
		for i := range domainCount {
			w.planners[domainName(i)] = w.newPlanner(domainName(i), 1)
		}
	}
	w.fleet = &passes.Fleet{Params: engineParams, Slowdown: func(engine string) float64 {
		if w.load.slow > 0 && strings.HasPrefix(engine, domainName(domainCount-1)) {
			return w.load.slow
		}
		return 1
	}}
	w.byID = make(map[string]*request)
	w.planned = make(map[string]string)
	w.running = make(map[string]int)
}

// slotShare returns the share of a domain's slots that are taken; 1 if its replicas are lost.
func (w *crossingWorld) slotShare(domain string) float64 {
	if w.lost && domain == domainName(domainCount-1) {
		return 1
	}
	return float64(w.running[domain]) / (enginesPerDomain * slots)
}

// run runs the requests to their ends.
func (w *crossingWorld) run(all []*request, domains map[string]string) {
	w.init()
	w.domains = domains
	const tick = 5 * time.Millisecond
	for now := loadStart; now.Before(all[len(all)-1].arrived.Add(15 * time.Second)); now = now.Add(tick) {
		w.changeReplicas(now)
		for len(w.byID) < len(all) && !all[len(w.byID)].arrived.After(now) {
			w.submit(now, all[len(w.byID)])
		}
		for len(w.reports) > 0 && !w.reports[0].at.After(now) {
			w.reports[0].apply(now)
			w.reports = w.reports[1:]
		}
		for _, domain := range slices.Sorted(mapKeys(w.planners)) {
			for _, result := range w.planners[domain].Decide(now) {
				w.place(now, &result)
			}
		}
		for _, e := range w.fleet.Advance(now) {
			w.event(now, e)
		}
	}
}

// mapKeys returns the keys of the planners.
func mapKeys(planners map[string]*planner.Planner) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range planners {
			if !yield(k) {
				return
			}
		}
	}
}

// changeReplicas loses the replicas of the last domain and brings them back, and changes the planner.
func (w *crossingWorld) changeReplicas(now time.Time) {
	since := now.Sub(loadStart)
	last := domainName(domainCount - 1)
	if lost := w.load.lost > 0 && since >= w.load.lost && since < w.load.back; lost != w.lost {
		w.lost = lost
		domains, born := "abc", int64(2)
		if lost {
			domains = "ab"
			w.breakRequests(now, last)
		}
		switch {
		case w.policy.joint:
			w.planners[""].SetReplicas(now, append(domainReplicas("ab", 1), domainReplicas(domains[2:], born)...))
		case lost:
			w.planners[last].SetReplicas(now, nil)
		default:
			w.planners[last].SetReplicas(now, domainReplicas(last, born))
		}
	}
	if w.changeAt > 0 && since >= w.changeAt {
		w.changeAt = 0
		w.changePlanner(now)
	}
}

// breakRequests ends the requests that run in a domain.
func (w *crossingWorld) breakRequests(now time.Time, domain string) {
	for _, id := range slices.Sorted(requestIDs(w.byID)) {
		r := w.byID[id]
		if r.primary == "" || r.done || r.refused {
			continue
		}
		engines := append([]string{r.primary}, r.helpers...)
		if !slices.ContainsFunc(engines, func(e string) bool { return strings.HasPrefix(e, domain) }) {
			continue
		}
		if r.firstEvent > 0 && !strings.HasPrefix(r.primary, domain) {
			continue // its helpers are done
		}
		w.fleet.Cancel(id)
		w.broken = append(w.broken, r)
		r.refused = true
		w.running[r.primary[:1]]--
		w.planners[w.planned[id]].Ended(now, "h"+w.domains[id], id, planner.OutcomeBroken)
	}
}

func requestIDs(requests map[string]*request) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range requests {
			if !yield(k) {
				return
			}
		}
	}
}

// changePlanner replaces the joint planner by one to which hosts report their placements.
func (w *crossingWorld) changePlanner(now time.Time) {
	next := w.newPlanner("abc", 1)
	next.SetReplicas(now, domainReplicas("abc", 1))
	for i := range domainCount {
		var placements []planner.Placement
		for _, id := range slices.Sorted(requestIDs(w.byID)) {
			r := w.byID[id]
			if w.domains[id] != domainName(i) || r.done || r.refused {
				continue
			}
			if r.primary == "" {
				next.Submit(now, w.requestAt(now, r))
				continue
			}
			placement := planner.Placement{Request: w.requestAt(now, r), Replica: r.primary, Decoding: r.firstEvent > 0}
			for _, h := range r.helpers {
				placement.Helpers = append(placement.Helpers, planner.Helper{Replica: h})
			}
			placements = append(placements, placement)
		}
		for _, placement := range placements {
			next.Restore(now, placement)
		}
	}
	w.planners[""] = next
}

// requestAt returns the placement request of r with its remaining times.
func (w *crossingWorld) requestAt(now time.Time, r *request) planner.Request {
	likely := r.events * engineParams.EventTokens
	req := planner.Request{
		ID: r.id, Host: "h" + w.domains[r.id], Service: "llm", PromptTokens: r.tokens, OutputTokens: likely, LikelyTokens: likely,
		FirstTarget: r.class.firstTarget, PauseTarget: r.class.pauseTarget, Deadline: r.class.deadline,
		UntilDisconnect: r.class.timeout(), PauseTimeout: r.class.timeout(),
		FailureDomain: w.domains[r.id], Bytes: sizeOf(r),
	}
	req.SubtractElapsed(now.Sub(r.arrived))
	return req
}

// sizeOf returns the bytes of the request and its response.
func sizeOf(r *request) int { return bytesPerToken*r.tokens + bytesPerEvent*r.events }

func (w *crossingWorld) submit(now time.Time, r *request) {
	w.byID[r.id] = r
	domain := ""
	if !w.policy.joint {
		domain = w.domains[r.id]
		if w.policy.target != nil {
			domain = w.policy.target(w, r, domain)
		}
	}
	w.planned[r.id] = domain
	w.planners[domain].Submit(now, w.requestAt(now, r))
}

func (w *crossingWorld) place(now time.Time, result *planner.Result) {
	r := w.byID[result.ID]
	if result.Plan == nil {
		r.refused = true
		return
	}
	r.primary = result.Plan.Replica.ID
	for _, h := range result.Plan.Helpers {
		r.helpers = append(r.helpers, h.Replica)
	}
	to, from := r.primary[:1], w.domains[r.id]
	w.running[to]++
	if to != from {
		w.moves = append(w.moves, move{at: now.Sub(loadStart), from: from, to: to})
		w.bytes += sizeOf(r)
	}
	w.fleet.Submit(now, passes.Request{
		ID: r.id, Primary: r.primary, Helpers: r.helpers, PromptTokens: r.tokens, EventCount: r.events,
	})
}

func (w *crossingWorld) event(now time.Time, e passes.Event) {
	r := w.byID[e.ID]
	if r.refused {
		return
	}
	host, p := "h"+w.domains[r.id], w.planned[r.id]
	if e.Number == 1 {
		r.firstEvent = e.At.Sub(r.arrived) + eventDelay
		if r.primary[:1] != w.domains[r.id] {
			r.firstEvent += roundTrip
		}
		w.later(now, func(now time.Time) { w.planners[p].Started(now, host, r.id) })
	} else {
		r.longestPause = max(r.longestPause, e.At.Sub(r.lastEvent))
	}
	r.lastEvent = e.At
	if e.Last {
		r.done = true
		w.running[r.primary[:1]]--
		w.later(now, func(now time.Time) { w.planners[p].Ended(now, host, r.id, planner.OutcomeCompleted) })
	}
}

// later reports something to a planner after the delay of reports.
func (w *crossingWorld) later(now time.Time, apply func(now time.Time)) {
	w.reports = append(w.reports, report{at: now.Add(w.reportDelay), apply: apply})
}

// directionChanges returns how often the traffic between two domains, counted by seconds, changes its direction, and in how
// many seconds it goes in both; each per minute.
func (w *crossingWorld) directionChanges(length time.Duration) (changes, both float64) {
	for i := range domainCount {
		for k := range i {
			last := 0
			for second := range int(length/time.Second) + 1 {
				there, back := 0, 0
				for _, m := range w.moves {
					switch {
					case int(m.at/time.Second) != second:
					case m.from == domainName(i) && m.to == domainName(k):
						there++
					case m.from == domainName(k) && m.to == domainName(i):
						back++
					}
				}
				if there > 0 && back > 0 {
					both++
				}
				if direction := cmp.Compare(there, back); direction != 0 {
					if direction == -last {
						changes++
					}
					last = direction
				}
			}
		}
	}
	return changes / length.Minutes(), both / length.Minutes()
}

// servedBound returns a share of the value within targets that no policy exceeds, even with perfect knowledge. It counts
// only the prefill, as if any number of engines took part in each with nothing lost, or only the decode steps, as if each
// request took a slot for the passes of an engine with no other one: the work must be done between the arrival of a request and its
// targets. What fits is known by the intervals of time in which work must be done, and taken in order of value for that work, in part
// where the whole doesn't fit.
func servedBound(all []*request, load *crossingLoad) float64 {
	prefill := func(r *request) (float64, time.Duration) {
		return pass.PrefillTime(engineParams, r.tokens, 1).Seconds(), r.class.firstTarget
	}
	decode := func(r *request) (float64, time.Duration) {
		pass := float64(engineParams.PassSteps) * engineParams.Step.Seconds() / slots
		return float64(r.events) * pass, r.class.firstTarget + time.Duration(r.events)*r.class.pauseTarget
	}
	return min(workBound(all, load, prefill), workBound(all, load, decode))
}

// workBound returns the bound if each request needs the work that the function returns, in engine seconds, within the time
// that it returns.
func workBound(all []*request, load *crossingLoad, needs func(r *request) (work float64, within time.Duration)) float64 {
	const bin = 250 * time.Millisecond
	bins := int(all[len(all)-1].arrived.Sub(loadStart)/bin) + 100
	capacity := make([]float64, bins+1) // engine seconds before each bin
	for i := range bins {
		at := time.Duration(i) * bin
		n := float64(domainCount-1) * enginesPerDomain
		switch {
		case load.lost > 0 && at >= load.lost && at < load.back-bin:
		case load.slow > 0:
			n += enginesPerDomain / load.slow
		default:
			n += enginesPerDomain
		}
		capacity[i+1] = capacity[i] + n*bin.Seconds()
	}
	used := make([][]float64, bins+1) // by first bin and end: engine seconds that must be within
	for i := range used {
		used[i] = make([]float64, bins+1)
	}
	value := func(r *request) float64 { return r.class.value * (0.3 + 0.7*float64(r.tokens)/r.class.tokens) }
	work := func(r *request) float64 { w, _ := needs(r); return w }
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b *request) int { return cmp.Compare(value(b)/work(b), value(a)/work(a)) })
	offered, earned := 0.0, 0.0
	for _, r := range sorted {
		_, within := needs(r)
		first := int(r.arrived.Sub(loadStart) / bin)
		end := min(int((r.arrived.Add(within).Sub(loadStart)+bin-1)/bin), bins)
		fits := work(r)
		for i := 0; i <= first; i++ {
			for k := end; k <= bins; k++ {
				fits = min(fits, capacity[k]-capacity[i]-used[i][k])
			}
		}
		fits = max(fits, 0)
		for i := 0; i <= first; i++ {
			for k := end; k <= bins; k++ {
				used[i][k] += fits
			}
		}
		offered += value(r)
		earned += value(r) * fits / work(r)
	}
	return earned / offered
}

// meanAndSpread returns the mean, the smallest and the largest of some values.
func meanAndSpread(values []float64) (mean, least, most float64) {
	least, most = math.Inf(1), math.Inf(-1)
	for _, v := range values {
		mean += v / float64(len(values))
		least, most = min(least, v), max(most, v)
	}
	return mean, least, most
}

// crossingResult is what a policy reaches under a load, by seed.
type crossingResult struct {
	served, short, megabytes, changes, both, broken []float64
}

func (c *crossingResult) add(all []*request, w *crossingWorld, length time.Duration) {
	total, quick := valueShares(all)
	changes, both := w.directionChanges(length)
	c.served, c.short = append(c.served, total), append(c.short, quick)
	c.megabytes = append(c.megabytes, float64(w.bytes)/1e6)
	c.changes, c.both = append(c.changes, changes), append(c.both, both)
	c.broken = append(c.broken, float64(len(w.broken)))
}

func mean(values []float64) float64 {
	m, _, _ := meanAndSpread(values)
	return m
}

// cell formats values as a cell of a table: the mean, the smallest and the largest.
func cell(values []float64, digits int) string {
	m, least, most := meanAndSpread(values)
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, m, digits, least, digits, most)
}

// Guards against a choice of servers that keeps less than what a host's own failure domain, all alike or a fixed threshold would
// serve in time, or that moves load between failure domains without need. The table is that of
// docs/design/failure-domain-traffic.md.
func TestCrossingAgainstBaselines(t *testing.T) {
	const (
		seeds  = 8
		length = 24 * time.Second
	)
	for _, load := range crossingLoads() {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			policies := crossingPolicies()
			results := make([]crossingResult, len(policies))
			var bounds []float64
			for seed := range uint64(seeds) {
				all, _ := crossingArrivals(seed+1, &load)
				bounds = append(bounds, servedBound(all, &load))
				for i := range policies {
					all, domains := crossingArrivals(seed+1, &load)
					w := &crossingWorld{load: &load, policy: &policies[i]}
					w.run(all, domains)
					results[i].add(all, w, length)
					if total, _ := valueShares(all); total > bounds[seed] {
						t.Errorf("seed %d: %s serves %.3f, over the bound %.3f", seed+1, policies[i].name, total, bounds[seed])
					}
				}
			}
			for i, r := range results {
				t.Logf("| %s | %s | %s | %s | %s | %s | %s | %s |", load.name, policies[i].name, cell(r.served, 3), cell(r.short, 3),
					cell(r.megabytes, 1), cell(r.changes, 0), cell(r.both, 0), cell(r.broken, 0))
			}
			t.Logf("| %s | perfect knowledge, at most | %s | | | | | |", load.name, cell(bounds, 3))
			checkCrossing(t, results)
		})
	}
}

// checkCrossing checks the results of crossingPolicies for one load.
func checkCrossing(t *testing.T, results []crossingResult) {
	t.Helper()
	const (
		mostLess       = 0.03 // than all alike, which moves several times as much
		mostOfBytes    = 0.6  // that all alike moves
		mostOfBothWays = 0.15 // of the seconds with traffic in both directions of all alike
	)
	byCost, alike, own, threshold := &results[0], &results[1], &results[2], &results[3]
	if served := mean(byCost.served); served < mean(own.served) || served < mean(threshold.served) ||
		served < mean(alike.served)-mostLess {
		t.Errorf("served in time: %.3f by cost, %.3f all alike, %.3f own only, %.3f at a threshold", served,
			mean(alike.served), mean(own.served), mean(threshold.served))
	}
	if mean(byCost.megabytes) > mostOfBytes*mean(alike.megabytes) {
		t.Errorf("%.1f MB cross, %.1f if all are alike", mean(byCost.megabytes), mean(alike.megabytes))
	}
	if mean(byCost.both) > mostOfBothWays*mean(alike.both) || mean(byCost.changes) > mean(alike.changes) {
		t.Errorf("traffic in both directions in %.1f s a minute, %.1f changes of direction; %.1f and %.1f if all are alike",
			mean(byCost.both), mean(byCost.changes), mean(alike.both), mean(alike.changes))
	}
}

// unevenLoad is a steady load of which one failure domain has more than it serves.
func unevenLoad() crossingLoad {
	const length = 20 * time.Second
	return crossingLoad{phases: [domainCount][]phase{
		{{length, third(2.6, 1, 1)}}, {{length, third(0.7, 0.8, 0.6)}}, {{length, third(0.7, 0.8, 0.6)}},
	}}
}

// outflow returns how many requests left a domain in each second, and how many came to it.
func (w *crossingWorld) outflow(domain string, seconds int) (left []int, came int) {
	left = make([]int, seconds)
	for _, m := range w.moves {
		second := int(m.at / time.Second)
		switch {
		case second >= seconds:
		case m.from == domain:
			left[second]++
		case m.to == domain:
			came++
		}
	}
	return left, came
}

// Failure: reports are a second old, so that a planner that goes by them sends too much to a failure domain until it hears that it
// is full, and then too little, and failure domains send each other load. The load that leaves must be steady, and more be served in
// time than if each failure domain kept its own.
func TestOldReportsCauseNoSwings(t *testing.T) {
	const (
		seconds      = 20
		startSeconds = 4 // until the load is steady
		mostSwings   = 3 // seconds in which nothing or three times the mean leaves
		mostComing   = 0.2
	)
	for seed := range uint64(8) {
		load := unevenLoad()
		policies := crossingPolicies()
		var served []float64
		for _, policy := range []crossingPolicy{policies[0], policies[2]} {
			all, domains := crossingArrivals(seed+1, &load)
			w := &crossingWorld{load: &load, policy: &policy, reportDelay: time.Second}
			w.run(all, domains)
			total, _ := valueShares(all)
			served = append(served, total)
			if policy.price == 0 {
				continue
			}
			left, came := w.outflow("a", seconds)
			sum, swings := 0, 0
			for _, n := range left {
				sum += n
			}
			for _, n := range left[startSeconds:] {
				if n == 0 || n*seconds > 3*sum {
					swings++
				}
			}
			if swings > mostSwings || float64(came) > mostComing*float64(sum) {
				t.Errorf("seed %d: %v requests leave by seconds, %d come", seed+1, left, came)
			}
		}
		if served[0] < served[1] {
			t.Errorf("seed %d: %.3f of the value served in time, %.3f if no request crosses", seed+1, served[0], served[1])
		}
	}
}

// Failure: another host becomes planner and knows only what hosts report of their placements. Traffic that had one direction
// must neither turn round nor rise.
func TestChangeOfPlannerKeepsTraffic(t *testing.T) {
	const (
		changeAt = 10 * time.Second
		window   = 2 * time.Second
	)
	leaving, coming, before := 0, 0, 0
	for seed := range uint64(8) {
		load := unevenLoad()
		load.phases[0][0].rateFactors = third(4.5, 1, 1)
		all, domains := crossingArrivals(seed+1, &load)
		w := &crossingWorld{load: &load, policy: &crossingPolicies()[0], changeAt: changeAt}
		w.run(all, domains)
		for _, m := range w.moves {
			switch after := m.at - changeAt; {
			case after < -window || after >= window:
			case after < 0 && m.from == "a":
				before++
			case after >= 0 && m.from == "a":
				leaving++
			case after >= 0 && m.to == "a":
				coming++
			}
		}
	}
	if before == 0 || leaving < before/2 || leaving > 2*before || coming > before/10 {
		t.Errorf("%d requests left in the %v before the change, %d after it, and %d came", before, window, leaving, coming)
	}
}
