package planner

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	crashFirstParts   = 60
	crashMiddleParts  = 25
	crashMaxRuns      = 2 // attempts of one try of a caller that may have run
	crashMaxNotRun    = 4 // attempts of one try that didn't run, after which there may be another
	crashCallerTries  = 2
	crashReplicaLimit = 24 // requests that a replica runs and queues
	crashRareFirst    = 900
	crashRareMiddle   = 901
)

// badLayout says which other parts the requests with a bad part have.
type badLayout int

const (
	badBesideCommonFirst badLayout = iota // all have the most frequent first part of sound requests
	badBesideAnyFirst                     // any first part of sound requests
	badIsFirst                            // the bad part is the first, middle parts are those of sound requests
	badIsOnly                             // there is no other shared part
	badBesideRare                         // all have the parts of rare sound requests
)

type (
	// crashScenario describes the traffic and the disruptions of a run.
	crashScenario struct {
		name        string
		length      time.Duration // requests arrive during it
		soundRate   float64       // sound requests per second
		noParts     bool          // sound requests have no shared parts
		rareEvery   time.Duration // interval of sound requests with the rare parts; 0 for none
		bad         []badTraffic
		brokenShare float64             // of attempts that break off without a crash
		disrupt     func(w *crashWorld) // schedules disruptions; may be nil
	}

	// badTraffic describes the requests with one bad part.
	badTraffic struct {
		hash   uint64
		layout badLayout
		from   time.Duration // first arrival
		rate   float64       // requests per second; 0 to draw it
	}

	// crashCall is a request of a caller, and what became of it.
	crashCall struct {
		id          int
		at          time.Duration // arrival, from the begin of the run
		host        int
		parts       []uint64
		fingerprint uint64
		bad         uint64 // the bad part; 0 if it is sound
		tokens      int
		runTime     time.Duration // from the first token to the end
		tries       int           // of the caller so far
		inTouch     bool          // the host of the first try was in touch on arrival
		begun       bool          // the first attempt sent a first event
		broken      bool          // the first attempt broke off or didn't run
		breaks      int           // attempts that broke off
		refused     bool          // because of crashes
		refusedPart bool          // because of crashes, though fewer than maxCrashes of its own attempts had broken off
	}

	// callTry is one try of a caller at a host.
	callTry struct {
		*crashCall
		runs, notRun int
		excluded     []string
		resumed      bool
		first        bool // nothing has been attempted before
		elapsedSince time.Time
	}

	// crashAttempt is one placement request and what follows it.
	crashAttempt struct {
		call         *callTry
		host         *crashHost
		id           string
		request      Request
		requestedAt  time.Time
		queued       bool // the planner keeps it waiting
		bypassed     bool // placed by the host in place of its planner
		plan         *Plan
		replica      *crashReplica
		firstEvent   time.Time // predicted
		decoding     bool
		writingSince time.Time
		over         bool // at the replica
	}
)

// crashCalls returns the arrivals of a run, ordered by time. The sound ones don't depend on the bad ones.
func crashCalls(s *crashScenario, seed uint64, withBad bool) []*crashCall {
	sound := rand.New(rand.NewPCG(seed, 1))
	shares := rand.NewZipf(sound, 1.3, 3, crashFirstParts-1)
	var calls []*crashCall
	add := func(random *rand.Rand, at time.Duration, c crashCall) {
		c.at = at
		c.host = random.IntN(crashHosts)
		c.fingerprint = random.Uint64() | 1
		c.tokens = 1000 + random.IntN(8000)
		c.runTime = 250*time.Millisecond + time.Duration(random.Int64N(int64(1200*time.Millisecond)))
		calls = append(calls, &c)
	}
	poisson(sound, 0, s.length, s.soundRate, func(at time.Duration) {
		parts := soundParts(sound, shares)
		if s.noParts {
			parts = nil
		}
		add(sound, at, crashCall{parts: parts})
	})
	for at := s.rareEvery; at > 0 && at < s.length; at += s.rareEvery {
		add(sound, at, crashCall{parts: []uint64{crashRareFirst, crashRareMiddle}})
	}
	for i := range s.bad {
		b := &s.bad[i]
		random := rand.New(rand.NewPCG(seed, b.hash))
		badShares := rand.NewZipf(random, 1.3, 3, crashFirstParts-1)
		rate := b.rate
		if rate == 0 {
			rate = 1 + 5*random.Float64()
		}
		poisson(random, b.from, s.length, rate, func(at time.Duration) {
			if withBad {
				add(random, at, crashCall{parts: badParts(random, badShares, b), bad: b.hash})
			}
		})
	}
	slices.SortStableFunc(calls, func(a, b *crashCall) int { return int(a.at - b.at) })
	for i, c := range calls {
		c.id = i
	}
	return calls
}

// poisson calls arrive for random times between from and to.
func poisson(random *rand.Rand, from, to time.Duration, rate float64, arrive func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		arrive(at)
	}
}

// soundParts draws the shared parts of a sound request.
func soundParts(random *rand.Rand, shares *rand.Zipf) []uint64 {
	parts := []uint64{1 + shares.Uint64()}
	if random.IntN(2) == 0 {
		parts = append(parts, 101+random.Uint64N(crashMiddleParts))
	}
	return parts
}

// badParts draws the shared parts of a request with a bad part.
func badParts(random *rand.Rand, shares *rand.Zipf, b *badTraffic) []uint64 {
	parts := soundParts(random, shares)
	switch b.layout {
	case badBesideCommonFirst:
		parts[0] = 1
	case badIsFirst:
		parts[0] = b.hash
		return parts
	case badIsOnly:
		return []uint64{b.hash}
	case badBesideRare:
		parts = []uint64{crashRareFirst, crashRareMiddle}
	case badBesideAnyFirst:
	}
	return slices.Insert(parts, 1+random.IntN(len(parts)), b.hash)
}

// runCrashWorld simulates a scenario.
func runCrashWorld(s *crashScenario, seed uint64, withBad bool) *crashWorld {
	w := newCrashWorld(s, seed)
	w.calls = crashCalls(s, seed, withBad)
	for _, c := range w.calls {
		w.After(c.at, func() {
			h := w.receivingHost(c.host)
			c.inTouch = w.inTouch(h)
			w.try(h, c)
		})
	}
	if s.disrupt != nil {
		s.disrupt(w)
	}
	const rest = 3 * time.Second
	w.RunUntil(start.Add(s.length + rest))
	return w
}

// receivingHost returns the host i, or the next one that receives requests.
func (w *crashWorld) receivingHost(i int) *crashHost {
	for w.hosts[i].down || w.hosts[i].frozen {
		i = (i + 1) % crashHosts
	}
	return w.hosts[i]
}

// try makes one try of a caller at a host.
func (w *crashWorld) try(h *crashHost, c *crashCall) {
	c.tries++
	w.place(h, &callTry{crashCall: c, first: c.tries == 1, elapsedSince: w.Now})
}

// failCall ends a try of a caller without a complete response. The caller tries once more a little later.
func (w *crashWorld) failCall(c *callTry, retryAfter time.Duration) {
	if c.tries >= crashCallerTries {
		return
	}
	const longestWait = 3 * time.Second
	w.After(min(retryAfter, longestWait)+200*time.Millisecond+w.jitter(600*time.Millisecond), func() {
		w.try(w.receivingHost(w.random.IntN(crashHosts)), c.crashCall)
	})
}

// ownCrashes is the number of its own attempts that broke off from which on a request may be refused for them.
const ownCrashes = 3

// recordRefusal records a refusal because of crashes.
func (c *crashCall) recordRefusal() {
	c.refused = true
	c.refusedPart = c.refusedPart || c.breaks < ownCrashes
}
