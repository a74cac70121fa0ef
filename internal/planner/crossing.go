package planner

import (
	"slices"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

const (
	// Share of the value of a long prompt that each further failure domain costs which it depends on, beside that of its
	// host. The loss of any of them breaks the prompt, and its prefill is done again.
	domainRisk = 0.02
	// The unit of the price of bytes that cross.
	bytesPerGB = 1e9
)

// SetCrossingPrice sets the price of the bytes that a request moves between failure domains, as value of a request per
// GB. At 0, which it is at first, the planner doesn't distinguish failure domains.
func (p *Planner) SetCrossingPrice(perGB float64) { p.crossingPrice = perGB }

// crossing is what it costs a request to use servers of other failure domains than its host's. Its zero value costs
// nothing.
type crossing struct {
	domain string  // of the host; empty if it isn't known or the planner doesn't distinguish failure domains
	bytes  float64 // cost of the bytes of the request if it crosses
}

// crossingOf returns what it costs a request to cross.
func (p *Planner) crossingOf(req *Request) crossing {
	if p.crossingPrice <= 0 || req.FailureDomain == "" {
		return crossing{}
	}
	return crossing{domain: req.FailureDomain, bytes: p.crossingPrice * float64(req.Bytes) / bytesPerGB}
}

// crosses reports whether a request crosses that uses the server. A server whose failure domain isn't known counts as
// near.
func (x *crossing) crosses(s *server) bool {
	return x.domain != "" && s.replica.FailureDomain != "" && s.replica.FailureDomain != x.domain
}

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
