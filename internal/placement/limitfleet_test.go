package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

const (
	simTime     = 60 * time.Second
	simStep     = 10 * time.Millisecond
	simLatency  = 15 * time.Millisecond // of each message
	simRunTime  = 60 * time.Millisecond // until the head of a response
	simNotice   = 3 * time.Second       // from a change of a limit until it must hold
	simWindow   = 4 * time.Second
	simFactor   = 1.5
	simExtra    = 5
	simPlain    = 2   // replicas that never name a limit
	simBypassed = 0.3 // share of requests at a host whose planner can't be reached that the host places itself
)

// limitFleet is a fleet of hosts in virtual time, whose planners hand over to each other, are cut off from each other or
// freeze, before replicas that name limits, change and withdraw them.
type limitFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	hosts   []*simHost
	servers []*simServer
	later   []simEvent // in no order
	ids     int
	calm    time.Time // since when all hosts have one planner that runs
	refused int       // requests refused although a replica without a limit was there
	// For a coldFleet, what sends a request, and the windows of cold replicas that were checked, with the most requests in one.
	cold    bool
	stay    bool // hosts don't choose other planners
	arrive  func(h, p *simHost, result planner.Result, sentAt time.Time)
	windows int
	most    int
}

type simEvent struct {
	due  time.Time
	host *simHost // at which it happens, and not while that is frozen; nil for none
	do   func()
}

// simHost is a host with the parts of a Client that keep limits.
type simHost struct {
	id        int
	planner   *planner.Planner
	followers followers
	group     int      // hosts of other groups can't be reached
	follows   *simHost // its planner
	frozenTo  time.Time
	followed  followed
	started   time.Time             // zero for long ago
	stamps    map[*simHost]simStamp // newest heartbeat from each host
	plans     map[string]func(planner.Result)
}

type simStamp struct {
	stamp      time.Time // by the sender
	receivedAt time.Time
	echo       time.Time // newest stamp of the receiver that the sender had
}

// simServer is a replica that counts its requests.
type simServer struct {
	replica  replica.Replica
	limit    float64 // 0 for none
	limits   []simLimit
	arrivals []time.Time
}

// simLimit is a limit that a server names from a time on.
type simLimit struct {
	since     time.Time
	perSecond float64
}

func newLimitFleet(t *testing.T, seed uint64) *limitFleet {
	f := &limitFleet{t: t, random: rand.New(rand.NewPCG(seed, 27)), now: time.Unix(1000, 0)}
	for i := range 3 + f.random.IntN(3) + simPlain {
		f.servers = append(f.servers, &simServer{replica: replica.Replica{ID: fmt.Sprint("s", i), Service: "desk", Slots: 500, Born: 1}})
	}
	for i := range 3 + f.random.IntN(30) {
		h := &simHost{
			id: i, planner: planner.New(uint64(i)), followers: newFollowers(), stamps: make(map[*simHost]simStamp),
			plans: make(map[string]func(planner.Result)),
		}
		var list []replica.Replica
		for _, s := range f.servers {
			list = append(list, s.replica)
		}
		h.planner.SetReplicas(f.now, list)
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.follows = f.hosts[0]
	}
	return f
}

// after does something at a host after a time, or when the host continues.
func (f *limitFleet) after(d time.Duration, h *simHost, do func()) {
	f.later = append(f.later, simEvent{due: f.now.Add(d), host: h, do: do})
}

// send does something at another host after the latency, unless that can't be reached.
func (f *limitFleet) send(from, to *simHost, do func()) {
	if from == to {
		do()
		return
	}
	if from.group == to.group {
		f.after(simLatency, to, do)
	}
}

// step runs the events that are due, in order.
func (f *limitFleet) step() {
	f.now = f.now.Add(simStep)
	due := f.later[:0:0]
	f.later = slices.DeleteFunc(f.later, func(e simEvent) bool {
		if e.due.After(f.now) || e.host != nil && f.now.Before(e.host.frozenTo) {
			return false
		}
		due = append(due, e)
		return true
	})
	for _, e := range due {
		e.do()
	}
}

// heartbeat does what tick and a heartbeat do: it computes the share, and exchanges stamps and limits with the planner.
func (f *limitFleet) heartbeat(h *simHost) {
	f.after(heartbeatInterval, h, func() { f.heartbeat(h) })
	h.followers.recordHosts(f.now, len(f.hosts))
	share := 0.0
	if h.follows == h {
		share = h.followers.share(f.now, h.followers.hosts.count)
	}
	h.planner.Limits().SetShare(f.now, share, f.now.Add(limitShareTime))
	f.setColdShare(h)
	f.results(h)
	if h.follows != h {
		f.sendHeartbeat(h, h.follows, true)
	}
}

func (f *limitFleet) sendHeartbeat(from, to *simHost, wantsReply bool) {
	stamp, echo, follows := f.now, from.stamps[to].stamp, from.follows == to
	statements := from.planner.Limits().Statements(f.now)
	cold, sinceOther := from.planner.Limits().Cold.Statements(f.now), from.followed.sinceOther(f.now)
	sinceEcho := f.now.Sub(from.stamps[to].receivedAt)
	f.send(from, to, func() {
		to.stamps[from] = simStamp{stamp: stamp, receivedAt: f.now, echo: echo}
		to.planner.Limits().Merge(f.now, statements)
		if !echo.IsZero() {
			to.planner.Limits().Cold.Merge(f.now, echo.Add(sinceEcho), cold)
		}
		if to.follows == from {
			to.followed.heard(f.now)
		}
		to.followed.confirmed(fmt.Sprint(from.id), echo)
		if wantsReply {
			if !echo.IsZero() {
				to.followers.record(fmt.Sprint(from.id), echo, follows)
				to.followers.settle(f.now, fmt.Sprint(from.id), sinceOther)
			}
			f.sendHeartbeat(to, from, false)
		}
	})
}

// choose lets each host of a group follow its first host that runs, each after a time of its own.
func (f *limitFleet) choose() {
	for _, h := range f.hosts {
		i := slices.IndexFunc(f.hosts, func(other *simHost) bool {
			return other.group == h.group && !f.now.Before(other.frozenTo)
		})
		if i < 0 || h.follows == f.hosts[i] {
			continue
		}
		next := f.hosts[i]
		f.calm = f.now
		f.after(time.Duration(f.random.IntN(1500))*time.Millisecond, h, func() {
			if h.group == next.group && h.follows != next {
				left := h.follows
				h.followed.leave(f.now, fmt.Sprint(left.id), left == h)
				h.follows = next
				f.sendHeartbeat(h, left, true)
			}
		})
	}
}

// request lets a host ask for a plan and send what it gets.
func (f *limitFleet) request(h *simHost) {
	f.ids++
	id := fmt.Sprint(f.ids)
	p := h.follows
	if p.group != h.group || f.now.Before(p.frozenTo) {
		if f.random.Float64() > simBypassed {
			return
		}
		p = h // planned here, since the planner doesn't reply
	}
	h.plans[id] = func(result planner.Result) { f.sendPlanned(h, p, result) }
	f.send(h, p, func() {
		p.planner.Submit(f.now, planner.Request{
			ID: id, Host: fmt.Sprint(h.id), Service: "desk", FirstTarget: 300 * time.Millisecond, Deadline: 4 * time.Second,
		})
		f.results(p)
	})
}

// results hands out what a planner has decided.
func (f *limitFleet) results(p *simHost) {
	for _, result := range p.planner.Decide(f.now) {
		var h *simHost
		for _, other := range f.hosts {
			if fmt.Sprint(other.id) == result.Host {
				h = other
			}
		}
		known, sentAt := p.stamps[h], f.now
		f.send(p, h, func() {
			switch {
			case h == p:
				result.SendBefore = sentAt.Add(planTime(&result))
			case !known.stamp.IsZero():
				result.SendBefore = known.stamp.Add(sentAt.Sub(known.receivedAt) + planTime(&result))
			}
			if take := h.plans[result.ID]; take != nil {
				delete(h.plans, result.ID)
				take(result)
			}
		})
	}
}

// sendPlanned sends a request as planned, if the host may, and reports what the response says.
func (f *limitFleet) sendPlanned(h, p *simHost, result planner.Result) {
	if result.Refusal != nil {
		f.refused++
		return
	}
	limits, r := h.planner.Limits(), result.Plan.Replica
	if f.cold {
		f.sendToCold(h, p, result)
		return
	}
	if (result.Plan.RateLimited || limits.Limited(r)) && (!result.Plan.RateLimited || !f.now.Before(result.SendBefore)) {
		f.send(h, p, func() { p.planner.Ended(f.now, result.Host, result.ID, planner.OutcomeCanceled) })
		return
	}
	sentAt := f.now
	server := f.servers[slices.IndexFunc(f.servers, func(s *simServer) bool { return s.replica.ID == r.ID })]
	server.arrivals = append(server.arrivals, f.now)
	f.after(simRunTime, nil, func() {
		limit := server.limit
		f.after(simLatency+time.Duration(f.random.IntN(40))*time.Millisecond, h, func() {
			f.send(h, p, func() { p.planner.Ended(f.now, result.Host, result.ID, planner.OutcomeCompleted) })
			if limits.Named(f.now, r, sentAt, limit > 0, limit) {
				statements := limits.Statements(f.now)
				to := h.follows
				f.send(h, to, func() { to.planner.Limits().Merge(f.now, statements) })
			}
		})
	})
}

// trouble freezes hosts, cuts the fleet in groups and changes limits at random.
func (f *limitFleet) trouble() {
	f.after(time.Duration(500+f.random.IntN(3000))*time.Millisecond, nil, f.trouble)
	switch f.random.IntN(4) {
	case 0:
		groups := 1 + f.random.IntN(3)
		for _, h := range f.hosts {
			h.group = f.random.IntN(groups)
		}
	case 1:
		h := f.hosts[f.random.IntN(min(3, len(f.hosts)))]
		h.frozenTo = f.now.Add(time.Duration(f.random.IntN(5000)) * time.Millisecond)
	default:
		s := f.servers[f.random.IntN(len(f.servers)-simPlain)]
		s.limit = []float64{0, 0.5, 1, 2.6, 5, 12}[f.random.IntN(6)]
		s.limits = append(s.limits, simLimit{since: f.now, perSecond: s.limit})
	}
}

// allowed returns the requests that a server's limits allow in the window that ends at end, and false if it had none at
// some time in or shortly before it.
func (s *simServer) allowed(end time.Time) (float64, bool) {
	from := end.Add(-simWindow)
	highest := 0.0
	for i, l := range s.limits {
		ends := end.Add(time.Hour)
		if i+1 < len(s.limits) {
			ends = s.limits[i+1].since
		}
		if ends.Add(simNotice).Before(from) || l.since.After(end) {
			continue
		}
		if l.perSecond == 0 {
			return 0, false
		}
		highest = max(highest, l.perSecond)
	}
	if len(s.limits) == 0 || s.limits[0].since.Add(simNotice).After(from) {
		return 0, false
	}
	return simFactor*highest*simWindow.Seconds() + simExtra, true
}

// check checks each window of each server.
func (f *limitFleet) check(seed uint64) (windows int) {
	for _, s := range f.servers {
		first := 0
		for last, end := range s.arrivals {
			for end.Sub(s.arrivals[first]) > simWindow {
				first++
			}
			allowed, ok := s.allowed(end)
			if !ok {
				continue
			}
			windows++
			if n := last - first + 1; float64(n) > allowed {
				f.t.Errorf("seed %d, %d hosts: %s got %d requests in the %v before %v, allowed %v", seed, len(f.hosts),
					s.replica.ID, n, simWindow, end.Sub(time.Unix(1000, 0)), allowed)
				return windows
			}
		}
	}
	return windows
}

// run runs the fleet at the given rate of requests.
func (f *limitFleet) run(perSecond float64, length time.Duration) {
	for _, h := range f.hosts {
		f.after(time.Duration(f.random.IntN(250))*time.Millisecond, h, func() { f.heartbeat(h) })
	}
	for end := f.now.Add(length); f.now.Before(end); {
		f.step()
		if !f.stay {
			f.choose()
		}
		for range int(perSecond*simStep.Seconds() + f.random.Float64()) {
			if h := f.hosts[f.random.IntN(len(f.hosts))]; !f.now.Before(h.frozenTo) {
				f.request(h)
			}
		}
	}
}

// Guards against more requests than a replica's limit allows from all hosts together (incident LIMIT), while planners
// hand over, are cut off from each other or freeze, limits change, and responses overtake each other.
func TestFleetKeepsLimitsOutOfTouch(t *testing.T) {
	windows := 0
	for seed := range uint64(40) {
		f := newLimitFleet(t, seed)
		f.after(0, nil, f.trouble)
		f.run(150, simTime)
		windows += f.check(seed)
	}
	if windows < 1000 {
		t.Errorf("only %d windows were checked", windows)
	}
}

// In a fleet that is in touch, replicas with limits get close to what they take when all of them have limits, and no
// caller is refused for them while another replica takes its request.
func TestFleetSpendsLimits(t *testing.T) {
	for seed := range uint64(10) {
		for _, plain := range []bool{false, true} {
			f := newLimitFleet(t, seed)
			for i, s := range f.servers {
				if s.limit = 1 + 5*f.random.Float64(); plain && i == 0 {
					s.limit = 0
				}
			}
			f.run(150, 30*time.Second)
			from := f.now.Add(-20 * time.Second)
			for _, s := range f.servers {
				n := 0
				for _, at := range s.arrivals {
					if at.After(from) {
						n++
					}
				}
				switch share := float64(n) / (20 * s.limit); {
				case s.limit > 0 && share > 1.1, !plain && share < 0.85:
					t.Errorf("seed %d: %s got %d requests in 20 s, limit %.2f a second", seed, s.replica.ID, n, s.limit)
				}
			}
			if plain && f.refused > 0 {
				t.Errorf("seed %d: %d requests refused beside a replica without a limit", seed, f.refused)
			}
		}
	}
}
