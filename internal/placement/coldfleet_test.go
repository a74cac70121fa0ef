package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/revision"
)

const (
	coldStart  = 3 * time.Second
	coldPerS   = 15
	coldOver   = 1.5
	coldSlack  = 5
	coldWindow = time.Second
	coldNotice = 1500 * time.Millisecond // from when a running replica turns cold until the bound must hold
	readEvery  = 500 * time.Millisecond  // interval at which planners read the store
	coldFirst  = time.Minute             // until when nothing starts in a fleet that has long been running
)

// coldFleet is a fleet of hosts before replicas that start again and turn cold at any time.
type coldFleet struct {
	*limitFleet
	servers map[string]*coldServer // by ID
	said    statedBy
	written int64 // revision of the store
}

// statedBy is how replicas say that they are cold.
type statedBy int

const (
	statedNowhere statedBy = iota
	statedInEntries
	statedInResponses
)

// coldServer is a replica that counts the requests of its present incarnation.
type coldServer struct {
	replica  replica.Replica
	written  int64
	spans    []coldSpan
	arrivals []time.Time
}

// coldSpan is a time in which a server is cold, and must get no more than the bound since from.
type coldSpan struct{ from, to time.Time }

func newColdFleet(t *testing.T, seed uint64, hosts, servers int, said statedBy) *coldFleet {
	f := &coldFleet{
		limitFleet: &limitFleet{t: t, random: rand.New(rand.NewPCG(seed, 31)), now: time.Unix(1000, 0), cold: true},
		servers:    make(map[string]*coldServer), said: said,
	}
	f.limitFleet.arrive = f.arrive
	for i := range servers {
		id := fmt.Sprint("s", i)
		f.servers[id] = &coldServer{replica: replica.Replica{ID: id, Service: "desk", Slots: 500, Born: 1}}
	}
	f.now = f.now.Add(-coldFirst)
	for i := range hosts {
		h := &simHost{
			id: i, planner: planner.New(f.random.Uint64()), followers: newFollowers(), stamps: make(map[*simHost]simStamp),
			plans: make(map[string]func(planner.Result)),
		}
		f.start(h)
		f.hosts = append(f.hosts, h)
	}
	f.now = f.now.Add(coldFirst)
	for _, h := range f.hosts {
		h.follows = f.hosts[0]
	}
	return f
}

// start gives a host that has just started what Init does.
func (f *coldFleet) start(h *simHost) {
	h.started = f.now
	h.followed = followed{otherHeard: f.now}
	cold := &h.planner.Limits().Cold
	cold.SetBounds(coldOver, coldSlack)
	cold.SetShare(0, assumedHosts, f.now)
	cold.SetServices(map[string]ratelimit.ColdService{"desk": {Start: coldStart, PerSecond: coldPerS}})
	h.planner.SetReplicas(f.now, f.list())
}

// restart lets a host start again, with nothing known.
func (f *coldFleet) restart(h *simHost) {
	h.planner = planner.New(f.random.Uint64())
	h.followers, h.stamps = newFollowers(), make(map[*simHost]simStamp)
	h.plans = make(map[string]func(planner.Result))
	h.follows = h
	f.start(h)
}

func (f *coldFleet) list() []replica.Replica {
	var list []replica.Replica
	for _, s := range f.servers {
		list = append(list, s.replica)
	}
	slices.SortFunc(list, func(a, b replica.Replica) int { return len(a.ID) - len(b.ID) })
	return list
}

// read does at a host what a read of the store by its planner leads to: the host gets the list, and a planner what the
// entries say.
func (f *coldFleet) read(h *simHost) {
	f.after(readEvery, h, func() { f.read(h) })
	h.planner.SetReplicas(f.now, f.list())
	if f.said != statedInEntries || h.follows != h {
		return
	}
	for _, s := range f.servers {
		r := s.replica
		r.Cold = replica.Cold{Stated: true, Remaining: s.remaining(f.now)}
		h.planner.Limits().Cold.Read(f.now, f.now, r, revision.New(0, s.written))
	}
}

// remaining returns for how long a server stays cold.
func (s *coldServer) remaining(now time.Time) time.Duration {
	if len(s.spans) == 0 {
		return 0
	}
	return max(s.spans[len(s.spans)-1].to.Sub(now), 0)
}

// bear starts a server again.
func (f *coldFleet) bear(s *coldServer) {
	f.written++
	s.replica.Born++
	s.written = f.written
	s.arrivals = nil
	s.spans = []coldSpan{{f.now, f.now.Add(coldStart)}}
}

// chill turns a running server cold.
func (f *coldFleet) chill(s *coldServer) {
	f.written++
	s.written = f.written
	s.spans = append(s.spans, coldSpan{f.now.Add(coldNotice), f.now.Add(coldNotice + coldStart)})
}

// setColdShare does what updateColdShare does.
func (f *limitFleet) setColdShare(h *simHost) {
	if !f.cold {
		return
	}
	hosts := h.followers.hosts.count
	if !h.followers.knowsHosts(f.now, h.started) {
		hosts = max(hosts, assumedHosts)
	}
	share := 0.0
	if h.follows == h {
		share = h.followers.settledShare(f.now, hosts, h.followed.sinceOther(f.now) >= followTime)
	}
	h.planner.Limits().Cold.SetShare(share, hosts, f.now.Add(limitShareTime))
}

// sendToCold sends a request as planned, if the host may; see Client.MaySend.
func (f *limitFleet) sendToCold(h, p *simHost, result planner.Result) {
	r := result.Plan.Replica
	knowsCold := h.planner.Limits().Cold.Remaining(f.now, r) > 0
	if (result.Plan.RateLimited || knowsCold) &&
		(!result.Plan.RateLimited || !result.Plan.Cold && knowsCold || !f.now.Before(result.SendBefore)) {
		f.send(h, p, func() { p.planner.Ended(f.now, result.Host, result.ID, planner.OutcomeCanceled) })
		return
	}
	f.arrive(h, p, result, f.now)
}

// arrive counts a request at its server, unless that has started again since, and lets the response come.
func (f *coldFleet) arrive(h, p *simHost, result planner.Result, sentAt time.Time) {
	r := result.Plan.Replica
	s := f.servers[r.ID]
	same := s.replica.Born == r.Born
	if same {
		s.arrivals = append(s.arrivals, f.now)
		f.check(s)
	}
	f.after(simRunTime, nil, func() {
		remaining := s.remaining(f.now)
		f.after(simLatency+time.Duration(f.random.IntN(40))*time.Millisecond, h, func() {
			f.send(h, p, func() { p.planner.Ended(f.now, result.Host, result.ID, planner.OutcomeCompleted) })
			if f.said == statedInResponses && same {
				h.planner.Limits().Cold.Responded(f.now, r, sentAt, remaining)
			}
		})
	})
}

// check checks the window that ends with the last request to a server.
func (f *coldFleet) check(s *coldServer) {
	for _, span := range s.spans {
		if f.now.After(span.to) || f.now.Before(span.from) {
			continue
		}
		n := 0
		for _, at := range s.arrivals {
			if f.now.Sub(at) < coldWindow && !at.Before(span.from) {
				n++
			}
		}
		f.windows++
		f.most = max(f.most, n)
		if float64(n) > coldPerS*coldOver+coldSlack {
			f.t.Errorf("%d hosts: %s, cold since %v, got %d requests in the second before %v", len(f.hosts), s.replica.ID,
				span.from.Sub(time.Unix(1000, 0)), n, f.now.Sub(time.Unix(1000, 0)))
		}
	}
}

// trouble changes something at random: servers start again, alone or all of a failure domain, and hosts freeze, restart and are cut off.
func (f *coldFleet) trouble() {
	f.after(time.Duration(300+f.random.IntN(2000))*time.Millisecond, nil, f.trouble)
	all := f.list()
	one := f.servers[all[f.random.IntN(len(all))].ID]
	switch f.random.IntN(6) {
	case 0:
		groups := 1 + f.random.IntN(4)
		for _, h := range f.hosts {
			h.group = f.random.IntN(groups)
		}
	case 1:
		f.hosts[f.random.IntN(min(3, len(f.hosts)))].frozenTo = f.now.Add(time.Duration(f.random.IntN(5000)) * time.Millisecond)
	case 2:
		f.restart(f.hosts[f.random.IntN(min(4, len(f.hosts)))])
	case 3:
		f.bear(one)
	case 4:
		for i, r := range all {
			if i%3 == 0 {
				f.bear(f.servers[r.ID])
			}
		}
	case 5:
		if f.said == statedInEntries {
			f.chill(one)
		}
	}
}

// begin starts the loops of all hosts.
func (f *coldFleet) begin() {
	for _, h := range f.hosts {
		f.after(time.Duration(f.random.IntN(int(readEvery))), h, func() { f.read(h) })
	}
}

// Guards against more requests than a cold replica takes from all hosts together, while planners take over from each other, are
// cut off from each other, freeze or have just started, hosts place by themselves, and replicas start and turn cold at any time
// and say so in entries, responses or nowhere.
func TestFleetKeepsBoundOfColdReplicas(t *testing.T) {
	windows, most := 0, 0
	for seed := range uint64(16) {
		hosts := []int{3, 8, 30, 89}[seed%4]
		f := newColdFleet(t, seed, hosts, 6, statedBy(seed%3))
		f.begin()
		f.after(time.Second, nil, f.trouble)
		f.run(200, 20*time.Second)
		windows += f.windows
		most = max(most, f.most)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d windows, at most %d requests", windows, most)
	if windows < 1000 {
		t.Errorf("only %d windows were checked", windows)
	}
}

// Guards against a failure domain that comes back cold and fills up slower than its replicas take requests, against more than
// they take on average, and against callers that are refused meanwhile although warm replicas have room.
func TestColdDomainFillsUpAtItsRate(t *testing.T) {
	for seed := range uint64(3) {
		f := newColdFleet(t, seed, []int{3, 30, 89}[seed%3], 9, statedInEntries)
		f.begin()
		f.run(250, 5*time.Second)
		domain := []*coldServer{f.servers["s0"], f.servers["s3"], f.servers["s6"]}
		for _, s := range domain {
			f.bear(s)
		}
		f.run(250, coldStart+readEvery)
		for _, s := range domain {
			n := 0
			for _, at := range s.arrivals {
				if at.Before(s.spans[0].to) && !at.Before(s.spans[0].from) {
					n++
				}
			}
			// The planner sees the new start with its next read.
			least, most := 0.9*coldPerS*(coldStart-readEvery).Seconds(), 1.05*coldPerS*coldStart.Seconds()+1
			if float64(n) < least || float64(n) > most {
				t.Errorf("seed %d, %d hosts: %d requests while %s was cold, want %.0f to %.0f", seed, len(f.hosts), n, s.replica.ID,
					least, most)
			}
		}
		if f.refused > 0 {
			t.Errorf("seed %d: %d requests refused beside warm replicas", seed, f.refused)
		}
	}
}

// Guards against a fleet whose replicas are all cold and that serves nothing, since its planner has just started or can't be
// reached by any host.
func TestColdFleetIsServedWithoutPlanner(t *testing.T) {
	for _, test := range []struct {
		name  string
		hosts int
		least float64 // requests a second
		begin func(f *coldFleet)
	}{
		{"planner restarted", 30, 40, func(f *coldFleet) { f.restart(f.hosts[0]) }},
		{"cut off from the planner", 30, 40, func(f *coldFleet) {
			f.hosts[0].group = 1
			f.stay = true
		}},
	} {
		f := newColdFleet(t, 3, test.hosts, 60, statedNowhere)
		f.begin()
		f.run(100, 5*time.Second)
		for _, s := range f.servers {
			f.bear(s)
		}
		test.begin(f)
		before := f.windows
		f.run(400, settleTime)
		if got := float64(f.windows-before) / settleTime.Seconds(); got < test.least {
			t.Errorf("%s: %.0f requests a second served by cold replicas, want %.0f", test.name, got, test.least)
		} else {
			t.Logf("%s: %.0f requests a second", test.name, got)
		}
	}
}
