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
	// Small parts may join other reading up to this.
	lightReading = 150 * time.Millisecond
	// A lead begins within this time, since the parts at its helpers begin with it.
	leadBegin = 150 * time.Millisecond
	// How much later a held prompt would be placed, for the gain of placing it now.
	holdStep = 200 * time.Millisecond
	// Gain of placing a prompt that is late anyway, as a share of its value.
	lateGain = 0.06
	// From so many engines on one in so many, and one at least, reads no heavy prompt.
	reserveFrom  = 4
	reserveShare = 16
	// How fast the rate of short prompts is learnt.
	rateMemory = 1500 * time.Millisecond
	// Short prompts that one engine takes in a second without making them late.
	shortRate = 5.0
)

// The numbers of readers that are tried for a heavy prompt.
var readerCounts = []int{1, 2, 3, 4, 5, 6, 8, 10, 13, 16}

// heavy returns the best choice for a prompt that takes long to read, if it is better than to wait.
func (p *Planner) heavy(now time.Time, a *Ask, servers []*server) (choice, []int, bool) {
	views := make([]view, 0, len(servers))
	busy := 0
	for _, s := range servers {
		v := viewOf(now, s)
		if v.parts > clearReading || s.readsHeavy() {
			busy++
		}
		if s.lag(now) <= 0 && s.helps < s.slots() {
			views = append(views, v)
		}
	}
	room := p.crowdOf(now, a.Service, len(servers), busy)
	most := mostReaders(len(servers)) - busy
	var best choice
	var reserves []int
	found := false
	for _, readers := range readerCounts {
		if readers > len(views) || readers > maxReaders || readers > most {
			break
		}
		c, split, ok := p.joined(now, a, views, room, readers)
		if ok && (!found || c.loss < best.loss) {
			best, reserves, found = c, split, true
		}
	}
	if !found || best.harm > placingGain(a, best.first) {
		return choice{}, nil, false
	}
	if best.first > a.FirstAim && inTimeLater(a, views, len(servers)) {
		return choice{}, nil, false
	}
	return best, reserves, true
}

// inTimeLater tells whether a prompt that would be late now can be in time by waiting for engines that will be clear.
func inTimeLater(a *Ask, views []view, servers int) bool {
	waits := make([]time.Duration, 0, len(views)) // until each engine is clear
	for i := range views {
		v := &views[i]
		waits = append(waits, v.begin+v.parts+v.own)
	}
	slices.Sort(waits)
	for i, wait := range waits {
		free, reading := i+1, len(waits)-i-1
		readers := min(free, maxReaders, mostReaders(servers)-reading)
		if readers < 1 {
			continue
		}
		read := pass.ReadTime(views[0].server.model.Engine, a.PromptTokens, readers)
		if lateness(wait+views[0].steps+read+jointTime, a.FirstAim) < inTimeRisk {
			return true
		}
	}
	return false
}

// mostReaders returns how many of the servers may read heavy prompts at once, so that short ones that come find a place.
func mostReaders(servers int) int {
	if servers < reserveFrom {
		return servers
	}
	return servers - max(servers/reserveShare, 1)
}

// placingGain is what a prompt gains by being placed now, with its first event after first, instead of a little later.
func placingGain(a *Ask, first time.Duration) float64 {
	gain := firstLoss(first+holdStep, a.FirstAim, a) - firstLoss(first, a.FirstAim, a)
	return value(a.PromptTokens) * (gain + lateGain)
}

// joined returns the best choice of readers servers, of which one writes, and the memory to reserve at the others.
func (p *Planner) joined(now time.Time, a *Ask, views []view, room crowd, readers int) (choice, []int, bool) {
	spots := make([]spot, 0, len(views))
	for i := range views {
		v := &views[i]
		read := pass.ReadTime(v.server.model.Engine, a.PromptTokens, readers)
		if v.parts+v.own <= clearReading || v.parts+v.own+read <= lightReading {
			spots = append(spots, v.spotAt(read, true))
		}
	}
	if len(spots) < readers {
		return choice{}, nil, false
	}
	sortSpots(spots, a)
	lead := leadOf(now, spots, a, readers)
	if lead < 0 {
		return choice{}, nil, false
	}
	c := choice{lead: spots[lead], harm: spots[lead].harm}
	finish := c.lead.finish
	for i := 0; i < len(spots) && len(c.helpers) < readers-1; i++ {
		if i == lead {
			continue
		}
		c.helpers = append(c.helpers, spots[i].server)
		c.harm += spots[i].harm
		c.loss += spots[i].fails * value(a.PromptTokens)
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
	c.harm += room.loss(readers, c.lead.pass)
	c.loss += c.harm + ownLoss(a, c.first, &c.lead) + readerWeight*float64(readers-1)
	return c, reserves, true
}

// crowd is what short prompts that are to come need of a service's engines.
type crowd struct {
	servers int
	busy    int // read heavy prompts already
	free    int // short prompts don't need
	stake   float64
}

func (p *Planner) crowdOf(now time.Time, service string, servers, busy int) crowd {
	shorts := p.shortsOf(service)
	rate := shorts.perSecond(now)
	return crowd{
		servers: servers,
		busy:    busy,
		free:    max(servers-int(rate/shortRate)-1, 1),
		stake:   lateLoss * value(shorts.tokens) * rate,
	}
}

// loss returns what short prompts lose when readers more engines are busy for d.
func (c crowd) loss(readers int, d time.Duration) float64 {
	over := c.busy + readers - c.free
	if over <= 0 {
		return 0
	}
	share := float64(over) / float64(max(c.servers-c.free, 1))
	return c.stake * min(share, 1) * d.Seconds()
}

// sortSpots puts the servers that suit a part best first.
func sortSpots(spots []spot, a *Ask) {
	worth := value(a.PromptTokens)
	for i := range spots {
		sp := &spots[i]
		sp.cost = sp.harm + worth*(sp.fails+firstWeight*sp.finish.Seconds()) + packWeight*sp.server.shortShare()
	}
	slices.SortFunc(spots, func(x, y spot) int {
		if c := cmp.Compare(x.cost, y.cost); c != 0 {
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
		if spots[i].begin <= leadBegin && spots[i].server.leads(now, tokens) {
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
