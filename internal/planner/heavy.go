package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/pass"
)

const (
	// A heavy prompt goes to engines whose reading that waits takes no longer than this, so that its parts begin together.
	clearReading = 60 * time.Millisecond
	// How much later a held prompt would be placed, for the gain of placing it now.
	holdStep = 200 * time.Millisecond
	// Gain of placing a prompt that is late anyway, as a share of its value.
	lateGain = 0.06
	// How fast the rate of short prompts is learnt.
	rateMemory = 1500 * time.Millisecond
	// Short prompts that one engine takes in a second without making them late.
	shortRate = 5.0
)

// The numbers of readers that are tried for a heavy prompt.
var readerCounts = []int{1, 2, 3, 4, 5, 6, 8, 10, 13, 16}

// heavy returns the best choice for a prompt that takes long to read, if it is better than to wait.
func (p *Planner) heavy(now time.Time, a *Ask, servers []*server) (choice, []int, bool) {
	clear, free := p.clear(now, servers)
	var best choice
	var reserves []int
	found := false
	for _, readers := range readerCounts {
		if readers > len(clear) || readers > maxReaders {
			break
		}
		c, split, ok := p.joined(now, a, clear, free, readers)
		if ok && (!found || c.loss < best.loss) {
			best, reserves, found = c, split, true
		}
	}
	if !found || best.harm > placingGain(a, best.first) {
		return choice{}, nil, false
	}
	return best, reserves, true
}

// clear returns the servers at which a part would be read at once, and how many of them short prompts don't need.
func (p *Planner) clear(now time.Time, servers []*server) ([]*server, int) {
	var clear []*server
	for _, s := range servers {
		o := s.model.Outlook(now)
		if o.Parts+o.Own <= clearReading && s.lag(now) <= 0 && len(s.helps) < s.slots() {
			clear = append(clear, s)
		}
	}
	free := len(servers) - int(p.shorts.perSecond(now)/shortRate) - 1
	return clear, free
}

// placingGain is what a prompt gains by being placed now, with its first event after first, instead of a little later.
func placingGain(a *Ask, first time.Duration) float64 {
	gain := firstLoss(first+holdStep, a.FirstAim, a) - firstLoss(first, a.FirstAim, a)
	return value(a.PromptTokens) * (gain + lateGain)
}

// joined returns the best choice of readers servers, of which one writes, and the memory to reserve at the others.
func (p *Planner) joined(now time.Time, a *Ask, servers []*server, free, readers int) (choice, []int, bool) {
	spots := make([]spot, 0, len(servers))
	for _, s := range servers {
		read := pass.ReadTime(s.model.Engine, a.PromptTokens, readers)
		spots = append(spots, p.spotAt(now, s, read, true))
	}
	p.sortSpots(now, spots, a, free)
	lead := leadOf(now, spots[:], a, readers)
	if lead < 0 {
		return choice{}, nil, false
	}
	c := choice{lead: spots[lead], harm: spots[lead].harm}
	finish := c.lead.finish
	c.loss = ownLoss(now, c.lead.server, a, 0, c.lead.pass)
	for i := 0; i < len(spots) && len(c.helpers) < readers-1; i++ {
		if i == lead {
			continue
		}
		c.helpers = append(c.helpers, spots[i].server)
		c.harm += spots[i].harm
		c.loss += failing(now, spots[i].server, a)
		finish = max(finish, c.lead.begin+spots[i].finish)
	}
	reserves, ok := reserveFor(a, c.lead.server, c.helpers)
	if !ok {
		return choice{}, nil, false
	}
	c.first = finish + extraPasses(c.lead.server, a.PromptTokens/readers)
	if readers > 1 {
		c.first += jointTime
	}
	c.harm += p.crowding(now, c, free)
	c.loss += c.harm + ownLoss(now, c.lead.server, a, c.first, 0) + readerWeight*float64(readers-1)
	return c, reserves, true
}

// crowding returns what short prompts that are to come lose when the choice leaves them too few engines.
func (p *Planner) crowding(now time.Time, c choice, free int) float64 {
	busy := len(c.helpers) + 1
	for _, s := range p.services[c.lead.server.replica.Service] {
		o := s.model.Outlook(now)
		if s != c.lead.server && !slices.Contains(c.helpers, s) && o.Parts+o.Own > clearReading {
			busy++
		}
	}
	over := busy - max(free, 1)
	if over <= 0 {
		return 0
	}
	rate := p.shorts.perSecond(now)
	share := float64(over) / float64(max(len(p.services[c.lead.server.replica.Service])-max(free, 1), 1))
	return lateLoss * value(p.shorts.tokens) * rate * min(share, 1) * c.lead.pass.Seconds()
}

// sortSpots puts the servers that suit a part best first.
func (p *Planner) sortSpots(now time.Time, spots []spot, a *Ask, _ int) {
	cost := func(sp *spot) float64 {
		return sp.harm + failing(now, sp.server, a) + packWeight*sp.server.shortShare() +
			value(a.PromptTokens)*firstWeight*sp.finish.Seconds()
	}
	slices.SortFunc(spots, func(x, y spot) int {
		if c := cmp.Compare(cost(&x), cost(&y)); c != 0 {
			return c
		}
		return cmp.Compare(x.server.replica.ID, y.server.replica.ID)
	})
}

// leadOf returns the index of the best spot that may write, or -1.
func leadOf(now time.Time, spots []spot, a *Ask, readers int) int {
	tokens := a.PromptTokens + a.OutputTokens
	if readers > 1 && tokens > spots[0].server.model.Engine.MemoryTokens {
		tokens = a.PromptTokens/readers + a.OutputTokens
	}
	for i := range spots {
		if spots[i].server.leads(now, tokens) {
			return i
		}
	}
	return -1
}

// reserveFor splits the memory that the lead lacks over the helpers, those with the most first, or tells that it can't.
func reserveFor(a *Ask, lead *server, helpers []*server) ([]int, bool) {
	missing := a.PromptTokens + a.OutputTokens - lead.freeMemory()
	if missing <= 0 {
		return nil, true
	}
	slices.SortStableFunc(helpers, func(x, y *server) int { return cmp.Compare(y.freeMemory(), x.freeMemory()) })
	reserves := make([]int, len(helpers))
	for i, h := range helpers {
		if missing <= 0 {
			break
		}
		reserves[i] = max(min(missing, h.freeMemory()), 0)
		missing -= reserves[i]
	}
	return reserves, missing <= 0
}

// shortRateMeter learns how many short prompts come in a second.
type shortRateMeter struct {
	rate   float64
	last   time.Time
	tokens int // of a usual one
}

func (m *shortRateMeter) perSecond(now time.Time) float64 {
	return m.rate * decay(now.Sub(m.last))
}

func (m *shortRateMeter) note(now time.Time, tokens int) {
	m.rate = m.perSecond(now) + 1/rateMemory.Seconds()
	m.last = now
	if m.tokens == 0 {
		m.tokens = tokens
	}
	m.tokens += (tokens - m.tokens) / 16
}
