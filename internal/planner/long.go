package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

const (
	// An engine with at most this much queued prefill may take a part of a long prompt, so that all parts start at
	// about the same time.
	maxQueuedPrefill = 60 * time.Millisecond
	// An engine with more queued prefill may take a part if the queued prefill and the part together take at most this
	// time.
	maxCombinedPrefill = 150 * time.Millisecond
	// The primary replica must start its prefill within this time, because the parts at its helper replicas start with
	// it.
	maxPrimaryDelay = 150 * time.Millisecond
	// Assumed delay of a deferred placement, against which the gain of placing a long prompt now is computed.
	deferInterval = 200 * time.Millisecond
	// Gain, as a share of the value of a request, that counts for placing it now even if it misses its target anyway.
	basePlacementGain = 0.06
	// The same for a prompt of a size that gets engines too seldom: it may have no later chance.
	behindPlacementGain = 0.3
	// The maximum number of servers whose passes are predicted in order to place one long prompt.
	maxLongCandidates = 64
	// If a service has at least minServersForReserve servers, one in reserveDivisor of them, but at least one, prefills
	// no long prompt, so that short prompts find a slot.
	minServersForReserve = 4
	reserveDivisor       = 16
	// Number of short prompts per second that one engine serves without missing their targets.
	shortRatePerEngine = 5.0
)

// engineCounts are the numbers of engines over which placeLong tries to split a long prompt.
var engineCounts = []int{1, 2, 3, 4, 5, 6, 8, 10, 13, 16}

// placeLong returns the best choice of engines for a long prompt, and the tokens of memory to reserve at each helper
// replica. It reports false if the prompt should wait: no choice is possible, the best one imposes a larger loss on
// other requests than the prompt gains, or the prompt misses its target now but can meet it later. The argument behind says
// that prompts of its size get engines too seldom.
func (p *Planner) placeLong(now time.Time, req *Request, servers []*server, behind bool) (choice, []int, bool) {
	candidates, busy := longCandidates(servers)
	views := make([]view, 0, len(candidates))
	for _, s := range candidates {
		v := viewOf(now, s)
		if v.queuedParts > maxQueuedPrefill || s.prefillsOwnLongPrompt() {
			busy++
		}
		if s.lag(now) <= 0 && s.helperJobs < s.slots() {
			views = append(views, v)
		}
	}
	all := longGroup{
		views: views, maxEngines: maxLongPromptEngines(len(servers)) - busy,
		load: p.shortLoadOf(now, req.Service, len(servers), busy), crossing: p.crossingOf(now, req),
	}
	best, reservations, found := p.bestLong(now, req, &all, servers)
	gain := placementGain(req, best.firstEvent)
	if behind {
		gain = max(gain, behindPlacementGain*requestValue(req.PromptTokens))
	}
	if !found || best.imposedLoss > gain {
		return choice{}, nil, false
	}
	if best.firstEvent > req.FirstTarget && onTimeIfDeferred(req, views, len(servers)) {
		return choice{}, nil, false
	}
	return best, reservations, true
}

// bestLong returns the best choice of engines for a long prompt. It is one in the failure domain of the host unless the
// others save more loss than the risk of depending on them costs.
func (p *Planner) bestLong(now time.Time, req *Request, all *longGroup, servers []*server) (choice, []int, bool) {
	var best choice
	var reservations []int
	found := false
	if all.crossing.domain != "" {
		own := all.ownGroup(servers)
		best, reservations, found = p.bestInGroup(now, req, &own)
		if found && best.loss-p.longFloor(req) <= domainRisk*requestValue(req.PromptTokens) {
			return best, reservations, true
		}
		all.distances = all.crossing.distances(all.views)
	}
	c, splitReservations, ok := p.bestInGroup(now, req, all)
	if ok && (!found || c.loss < best.loss) {
		return c, splitReservations, true
	}
	return best, reservations, found
}

// bestInGroup returns the best choice of engines of a group among those with which the response ends in time.
func (p *Planner) bestInGroup(now time.Time, req *Request, g *longGroup) (choice, []int, bool) {
	var best choice
	var reservations []int
	found := false
	for _, engines := range engineCounts {
		if engines > len(g.views) || engines > maxEnginesPerPrompt || engines > g.maxEngines {
			break
		}
		c, splitReservations, ok := p.bestSplit(now, req, g, engines)
		if ok && (!found || c.loss < best.loss) && p.endsInTime(req, &c) {
			best, reservations, found = c, splitReservations, true
		}
	}
	return best, reservations, found
}

// longCandidates returns the servers that come into question for a long prompt, and how many of the others prefill long
// prompts. If there are more than maxLongCandidates servers, it leaves out those that seem to have the most to do.
func longCandidates(servers []*server) (candidates []*server, busy int) {
	if len(servers) <= maxLongCandidates {
		return servers, 0
	}
	candidates = sortByLongWork(servers)
	for _, s := range candidates[maxLongCandidates:] {
		if s.longWork >= longPrefillWork {
			busy++
		}
	}
	return candidates[:maxLongCandidates], busy
}

// sortByLongWork returns the servers in a new slice, those first that have the least to do for a long prompt. It sets their
// longWork.
func sortByLongWork(servers []*server) []*server {
	sorted := slices.Clone(servers)
	for _, s := range sorted {
		s.longWork = s.measureLongWork()
	}
	slices.SortFunc(sorted, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.longWork, y.longWork), compareServers(x, y))
	})
	return sorted
}

// onTimeIfDeferred reports whether a long prompt that would miss its first-event target if placed now can meet it by
// waiting for more engines to complete their queued prefill.
func onTimeIfDeferred(req *Request, views []view, servers int) bool {
	clearAfter := make([]time.Duration, 0, len(views)) // time until each engine has no queued prefill, ascending
	for i := range views {
		v := &views[i]
		clearAfter = append(clearAfter, v.nextPass+v.queuedParts+v.queuedOwn)
	}
	slices.Sort(clearAfter)
	for i, wait := range clearAfter {
		cleared, busy := i+1, len(clearAfter)-i-1
		engines := min(cleared, maxEnginesPerPrompt, maxLongPromptEngines(servers)-busy)
		if engines < 1 {
			continue
		}
		prefill := pass.PrefillTime(views[0].server.model.Engine, req.PromptTokens, engines)
		if missProbability(wait+views[0].decodeTime+prefill+mergeTime, req.FirstTarget) < maxMissRisk {
			return true
		}
	}
	return false
}

// maxLongPromptEngines returns how many of the servers may prefill long prompts at the same time, so that short prompts
// still find a slot.
func maxLongPromptEngines(servers int) int {
	if servers < minServersForReserve {
		return servers
	}
	return servers - max(servers/reserveDivisor, 1)
}

// placementGain returns the value that a prompt gains by being placed now, with its first event after firstEvent,
// instead of deferInterval later.
func placementGain(req *Request, firstEvent time.Duration) float64 {
	gain := firstEventLoss(firstEvent+deferInterval, req.FirstTarget, req) -
		firstEventLoss(firstEvent, req.FirstTarget, req)
	return requestValue(req.PromptTokens) * (gain + basePlacementGain)
}

// bestSplit returns the best choice of the given number of engines, one of which is the primary replica, and the tokens
// of memory to reserve at each helper replica. It reports false if too few engines are available, none of them can be
// the primary replica, or they lack memory.
func (p *Planner) bestSplit(now time.Time, req *Request, g *longGroup, engines int) (choice, []int, bool) {
	candidates := make([]candidate, 0, len(g.views))
	for i := range g.views {
		v := &g.views[i]
		prefill := pass.PrefillTime(v.server.model.Engine, req.PromptTokens, engines)
		if v.queuedParts+v.queuedOwn <= maxQueuedPrefill || v.queuedParts+v.queuedOwn+prefill <= maxCombinedPrefill {
			candidates = append(candidates, v.candidateFor(prefill, true))
		}
	}
	if len(candidates) < engines {
		return choice{}, nil, false
	}
	sortCandidates(candidates, req, g.distances)
	primary := primaryIndex(now, candidates, req, engines)
	if primary < 0 {
		return choice{}, nil, false
	}
	c := choice{primary: candidates[primary], imposedLoss: candidates[primary].imposedLoss}
	prefillEnd := c.primary.prefillEnd
	for i := 0; i < len(candidates) && len(c.helpers) < engines-1; i++ {
		if i == primary || p.limits.Limited(candidates[i].server.replica) {
			continue
		}
		c.helpers = append(c.helpers, candidates[i].server)
		c.imposedLoss += candidates[i].imposedLoss
		c.loss += candidates[i].failureRate * requestValue(req.PromptTokens)
		// A helper is taken to start with the primary replica, so its time counts from there.
		prefillEnd = max(prefillEnd, c.primary.prefillStart+candidates[i].prefillEnd)
	}
	reservations, ok := splitReservation(req, c.primary.server, c.helpers)
	if !ok || len(c.helpers) < engines-1 {
		return choice{}, nil, false
	}
	c.firstEvent = prefillEnd + extraPassTime(c.primary.server, req.PromptTokens/engines)
	if engines > 1 {
		c.firstEvent += mergeTime
	}
	c.imposedLoss += g.load.loss(engines, c.primary.passTime)
	c.loss += c.imposedLoss + ownLoss(req, c.firstEvent, &c.primary) + extraEngineLoss*float64(engines-1) +
		g.crossing.spanLoss(req, c.primary.server, c.helpers)
	return c, reservations, true
}

// shortLoad is the expected load of short prompts on the engines of a service.
type shortLoad struct {
	servers       int     // usable servers of the service
	busy          int     // servers that already prefill long prompts
	spare         int     // servers that short prompts don't need
	lossPerSecond float64 // expected loss per second if all short prompts miss their targets
}

// shortLoadOf returns the expected short-prompt load of a service, of whose usable servers busy ones prefill long
// prompts.
func (p *Planner) shortLoadOf(now time.Time, service string, servers, busy int) shortLoad {
	meter := p.shortRateOf(service)
	rate := meter.perSecond(now)
	return shortLoad{
		servers:       servers,
		busy:          busy,
		spare:         max(servers-int(rate/shortRatePerEngine)-1, 1),
		lossPerSecond: missedTargetLoss * requestValue(meter.typicalTokens) * rate,
	}
}

// loss returns by how much the expected loss of short prompts grows if that many more engines are busy for d.
func (l shortLoad) loss(engines int, d time.Duration) float64 {
	return l.lossPerSecond * (l.missingShare(l.busy+engines) - l.missingShare(l.busy)) * d.Seconds()
}

// missingShare returns the share of the engines needed by short prompts that they lack if the given number are busy.
func (l shortLoad) missingShare(busy int) float64 {
	missing := max(busy-l.spare, 0)
	return min(float64(missing)/float64(max(l.servers-l.spare, 1)), 1)
}

// sortCandidates computes the cost of prefilling a part at each candidate and sorts the candidates by it, lowest first.
// The argument distances has those of the failure domains; it may be nil.
func sortCandidates(candidates []candidate, req *Request, distances map[string]float64) {
	value := requestValue(req.PromptTokens)
	for i := range candidates {
		c := &candidates[i]
		c.cost = c.imposedLoss + value*(c.failureRate+firstEventLossPerSecond*c.prefillEnd.Seconds()) +
			shortSlotLoss*c.server.shortSlotShare()
		if len(distances) > 0 {
			c.cost += domainRisk * value * distances[c.server.replica.FailureDomain]
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		if c := cmp.Compare(x.cost, y.cost); c != 0 {
			return c
		}
		return compareServers(x.server, y.server)
	})
}

// primaryIndex returns the index of the first candidate that can be the primary replica, or -1 if there is none. If one
// engine's memory is too small for the request, the primary replica needs memory only for its own part of the prompt
// and for the output.
func primaryIndex(now time.Time, candidates []candidate, req *Request, engines int) int {
	tokens := req.PromptTokens + req.OutputTokens
	if engines > 1 && tokens > candidates[0].server.memory() {
		tokens = req.PromptTokens/engines + req.OutputTokens
	}
	for i := range candidates {
		if candidates[i].prefillStart <= maxPrimaryDelay && candidates[i].server.canBePrimary(now, tokens) {
			return i
		}
	}
	return -1
}

// splitReservation splits the memory that the primary replica lacks over the helper replicas, those with the most free
// memory first; it sorts helpers in this order. It returns nil if the primary replica has enough memory, and reports
// false if all of them together lack memory.
func splitReservation(req *Request, primary *server, helpers []*server) ([]int, bool) {
	missing := req.PromptTokens + req.OutputTokens - primary.freeMemory()
	if missing <= 0 {
		return nil, true
	}
	slices.SortStableFunc(helpers, func(x, y *server) int { return cmp.Compare(y.freeMemory(), x.freeMemory()) })
	reservations := make([]int, len(helpers))
	for i, h := range helpers {
		if missing <= 0 {
			break
		}
		reservations[i] = max(min(missing, h.freeMemory()), 0)
		missing -= reservations[i]
	}
	return reservations, missing <= 0
}
