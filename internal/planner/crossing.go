package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

const (
	// Share of the value of a long prompt that each further failure domain costs which it depends on, beside that of its
	// host. The loss of any of them breaks the prompt, and its prefill is done again.
	domainRisk = 0.02
	// Loss for a prompt that crosses, beside its bytes and its delay. It exceeds what preferences among servers come to that
	// all meet the targets (shortSlotLoss and passLoss), so that only the risk of missing a target makes a prompt cross. Since
	// it counts in both directions, two failure domains send each other prompts only if their losses differ by twice as much.
	crossingLoss = 0.06
	// Share of the value of a request that it costs to use servers of a failure domain which has just placed requests in that of
	// the host. It falls to 0 within reversalTime, which is longer than reports take to come, and than a wave of requests
	// takes to be seen in what servers do.
	reversalLoss = 0.5
	reversalTime = 3 * time.Second
	// The same for a call of a plain service, whose servers are compared by the share of their slots that is taken.
	plainCrossingLoss = 0.5
	// The delay of a request that crosses while its host doesn't know the round trips.
	defaultCrossingDelay = 5 * time.Millisecond
	// The unit of the price of bytes that cross.
	bytesPerGB = 1e9
)

// SetCrossingPrice sets the price of the bytes that a request moves between failure domains, as value of a request per
// GB. At 0, which it is at first, the planner doesn't distinguish failure domains.
func (p *Planner) SetCrossingPrice(perGB float64) { p.crossingPrice = perGB }

// crossing is what it costs a request to use servers of other failure domains than its host's. Its zero value costs
// nothing.
type crossing struct {
	domain string        // of the host; empty if it isn't known or the planner doesn't distinguish failure domains
	bytes  float64       // cost of the bytes of the request if it crosses
	delay  time.Duration // by which the first event comes later
	// By failure domain: the loss because it has itself sent requests to the host's, as a share of the value; nil for none.
	reversals map[string]float64
}

// domainPair is a direction of traffic between two failure domains.
type domainPair struct{ from, to string }

// recordCrossing records that a job uses servers of other failure domains than its host's.
func (p *Planner) recordCrossing(now time.Time, j *job) {
	if p.crossingPrice <= 0 {
		return
	}
	x := crossing{domain: j.request.FailureDomain}
	for i := -1; i < len(j.helpers); i++ {
		s := j.server
		if i >= 0 {
			s = j.helpers[i]
		}
		s.domain.placed++
		if x.crosses(s) {
			p.lastCrossings[domainPair{x.domain, s.replica.FailureDomain}] = now
		}
	}
}

// crossingOf returns what it costs a request to cross.
func (p *Planner) crossingOf(now time.Time, req *Request) crossing {
	if p.crossingPrice <= 0 || req.FailureDomain == "" {
		return crossing{}
	}
	return crossing{
		domain: req.FailureDomain, bytes: p.crossingPrice * float64(req.Bytes) / bytesPerGB, delay: cmp.Or(req.CrossingDelay, defaultCrossingDelay),
		reversals: p.reversals(now, req),
	}
}

// crosses reports whether a request crosses that uses the server. A server whose failure domain isn't known counts as
// near.
func (x *crossing) crosses(s *server) bool {
	return x.domain != "" && s.replica.FailureDomain != "" && s.replica.FailureDomain != x.domain
}

// reversals returns the loss for crossing to each failure domain that has lately sent requests to that of the host.
func (p *Planner) reversals(now time.Time, req *Request) map[string]float64 {
	var losses map[string]float64
	for pair, at := range p.lastCrossings {
		if left := reversalTime - now.Sub(at); pair.to == req.FailureDomain && left > 0 {
			if losses == nil {
				losses = make(map[string]float64)
			}
			losses[pair.from] = reversalLoss * requestValue(req.PromptTokens) * float64(left) / float64(reversalTime)
		}
	}
	return losses
}

// cost returns the cost of the bytes of a request that crosses to use the server, and that of turning round the traffic between
// the two failure domains.
func (x *crossing) cost(s *server) float64 { return x.bytes + x.reversals[s.replica.FailureDomain] }

// spanLoss returns the expected loss of a long prompt because it depends on the failure domains of all its servers, and
// the cost of its bytes if its primary replica is in another one than its host.
func (x *crossing) spanLoss(req *Request, primary *server, helpers []*server) float64 {
	if x.domain == "" {
		return 0
	}
	loss := 0.0
	if x.crosses(primary) {
		loss = x.bytes
	}
	domains := append(make([]string, 0, maxEnginesPerPrompt), x.domain)
	for i := -1; i < len(helpers); i++ {
		s := primary
		if i >= 0 {
			s = helpers[i]
		}
		if x.crosses(s) && !slices.Contains(domains, s.replica.FailureDomain) {
			domains = append(domains, s.replica.FailureDomain)
			loss += x.reversals[s.replica.FailureDomain]
		}
	}
	return loss + domainRisk*requestValue(req.PromptTokens)*float64(len(domains)-1)
}

// distances returns how far the failure domains of the views are from a long prompt: 0 for that of its host, 1 for the
// other one with the most engines that are clear, 2 for the rest. Engines that are taken in this order are in as few
// failure domains as possible.
func (x *crossing) distances(views []view) map[string]float64 {
	clearEngines := make(map[string]int)
	nearest := ""
	for i := range views {
		v := &views[i]
		if x.crosses(v.server) && v.queuedParts+v.queuedOwn <= maxQueuedPrefill {
			domain := v.server.replica.FailureDomain
			clearEngines[domain]++
			if n := clearEngines[domain]; n > clearEngines[nearest] || n == clearEngines[nearest] && domain < nearest {
				nearest = domain
			}
		}
	}
	distances := make(map[string]float64, len(clearEngines))
	for i := range views {
		s := views[i].server
		switch {
		case !x.crosses(s):
		case s.replica.FailureDomain == nearest:
			distances[s.replica.FailureDomain] = 1
		default:
			distances[s.replica.FailureDomain] = 2
		}
	}
	return distances
}

// longGroup is a set of engines over which a long prompt may be split.
type longGroup struct {
	views      []view             // of those engines that may take a part
	maxEngines int                // how many of them may prefill long prompts in addition to those that do
	load       shortLoad          // expected load of short prompts on them
	crossing   crossing           // of the prompt
	distances  map[string]float64 // by failure domain; see crossing.distances
}

// ownGroup returns the engines of the group in the failure domain of the host. Of the short prompts of the service they
// get the share that they are of all its servers.
func (g *longGroup) ownGroup(servers []*server) longGroup {
	own := longGroup{crossing: g.crossing, load: g.load}
	for i := range g.views {
		if !g.crossing.crosses(g.views[i].server) {
			own.views = append(own.views, g.views[i])
		}
	}
	own.load.servers, own.load.busy = 0, 0
	for _, s := range servers {
		if g.crossing.crosses(s) {
			continue
		}
		own.load.servers++
		if s.helperJobs > 0 || s.prefillsOwnLongPrompt() {
			own.load.busy++
		}
	}
	share := float64(own.load.servers) / float64(max(len(servers), 1))
	own.load.spare = max(int(float64(g.load.spare)*share), 1)
	own.load.lossPerSecond *= share
	own.maxEngines = maxLongPromptEngines(own.load.servers) - own.load.busy
	return own
}

// longFloor returns a loss that no split of a long prompt is below, the engines idle and its parts as many as possible.
func (p *Planner) longFloor(req *Request) float64 {
	prefill := pass.PrefillTime(p.engines[req.Service], req.PromptTokens, maxEnginesPerPrompt)
	return requestValue(req.PromptTokens) * firstEventLossPerSecond * prefill.Seconds()
}
