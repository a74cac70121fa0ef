package gateway_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

// releaseTime is how long after the end of a response its reservations have been released, or given up.
const releaseTime = 1500 * time.Millisecond

// refusalPause is longer than a replica that has refused a request gets no others.
const refusalPause = 110 * time.Millisecond

var (
	// A prompt that needs the memory of two replicas of newAddressCluster.
	hugePrompt = http.Header{"Token-Usage": {"60000,400"}, "Model": {"m"}}
	// A prompt that several replicas prefill though it fits in the memory of one.
	longPrompt = http.Header{"Token-Usage": {"35000,400"}, "Model": {"m"}}
)

// newAddressCluster starts a cluster whose engines have little memory.
func newAddressCluster(t *testing.T, f *faultInjector) *cluster {
	t.Helper()
	return (&cluster{t: t, engineMemory: 40000}).start(2, f, 3)
}

// crashAndReuse ends a replica without notice and starts one of another service at its address. The entry of the one that has
// crashed remains; the new one has none yet.
func (c *cluster) crashAndReuse(crashed *replica.Replica, id, service string) *replica.Replica {
	c.t.Helper()
	crashed.Close()
	r := &replica.Replica{
		ID: id, Service: service, FailureDomain: crashed.FailureDomain, Slots: crashed.Slots, Log: c.log, Clock: crashed.Clock,
		EngineNames: crashed.EngineNames, HelperAt: crashed.HelperAt, ServiceTime: crashed.ServiceTime, Address: crashed.Address,
	}
	r.Restart() // it starts later than the one that has crashed
	if _, err := r.ListenAt(crashed.Address); err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(r.Close)
	c.addReplica(r)
	return r
}

// awaitHelper waits until a replica reads a part of the prompt of a request as a helper, and returns the replica.
func (c *cluster) awaitHelper(id string) *replica.Replica {
	c.t.Helper()
	var parts []string
	c.eventually("a helper reads a part", func() bool {
		parts = c.log.Parts(id)
		return len(parts) > 0
	})
	i := slices.IndexFunc(c.replicas, func(r *replica.Replica) bool { return r.ID == parts[0] })
	return c.replicas[i]
}

// awaitReservation waits until a replica has reserved memory for a request, and returns the replica.
func (c *cluster) awaitReservation(id string) *replica.Replica {
	c.t.Helper()
	var holder *replica.Replica
	c.eventually("a replica has reserved memory", func() bool {
		i := slices.IndexFunc(c.replicas, func(r *replica.Replica) bool { return r.HasReserved(id) })
		if i >= 0 {
			holder = c.replicas[i]
		}
		return holder != nil
	})
	return holder
}

// wantNoPart checks that a replica has read no part of the prompt of a request.
func (c *cluster) wantNoPart(id string, r *replica.Replica) {
	c.t.Helper()
	if parts := c.log.Parts(id); slices.Contains(parts, r.ID) {
		c.t.Errorf("%s of another service has read a part of the prompt of %s: parts at %v", r.ID, id, parts)
	}
}

// wantOneMisdirectedOrder checks that one order that names the replica which has gone came to the other one at its address, which
// has accepted none.
func (c *cluster) wantOneMisdirectedOrder(other *replica.Replica, why string) {
	c.t.Helper()
	if commands := other.Commands(); len(commands) > 0 {
		c.t.Errorf("a replica of another service has accepted %+v", commands)
	}
	if n := other.MisdirectedCommands(); n != 1 {
		c.t.Errorf("%d orders named the replica that has gone, want 1: %s", n, why)
	}
}

// sendUntil sends requests with a long prompt, at one host after the other, until ok returns true.
func (c *cluster) sendUntil(what, path string, header http.Header, ok func(id string) bool) {
	c.t.Helper()
	const most = 12
	for n := range most {
		resp := c.do(n%len(c.hosts), http.MethodPost, path, "p", header)
		c.wantResponse(resp, completeStream(resp.id))
		if ok(resp.id) {
			return
		}
	}
	c.t.Errorf("not in %d requests: %s", most, what)
}

// A helper replica crashes, and one of another service comes at its address. Guards against the order that reserves memory for a
// prompt being granted by the other service, which then reads a part of the prompt (review/11).
func TestReservationIsNotMadeAtReusedAddress(t *testing.T) {
	t.Parallel()
	c := newAddressCluster(t, &faultInjector{})
	defer c.logOnFailure()
	before := c.do(0, http.MethodPost, "/dossiers/before", "p", hugePrompt)
	c.wantResponse(before, completeStream(before.id))
	helper := c.awaitReservation(before.id)
	c.eventually("the memory is released", func() bool { return helper.Reserved() == 0 })
	other := c.crashAndReuse(helper, "i-other", "draft")
	c.sendUntil("an order goes to the address", "/dossiers/after", hugePrompt, func(id string) bool {
		c.wantNoPart(id, other)
		return len(other.Commands()) > 0 || other.MisdirectedCommands() > 0
	})
	for h := range c.hosts {
		resp := c.do(h, http.MethodPost, "/dossiers/later", "p", hugePrompt)
		c.wantResponse(resp, completeStream(resp.id))
	}
	c.wantOneMisdirectedOrder(other, "the first one tells all hosts")
}

// crashHolder sends a request with a huge prompt whose replica meets a fault, crashes the helper that holds memory for it once it
// reads its part, and returns the replica of another service at the helper's address when the response has ended.
func (c *cluster) crashHolder(f *faultInjector, fault replica.Fault) *replica.Replica {
	c.t.Helper()
	f.set(func(_ string, r *http.Request) replica.Fault {
		if r.URL.Path == "/dossiers/held" {
			return fault
		}
		return replica.FaultNone
	})
	response := make(chan response, 1)
	go func() { response <- c.do(0, http.MethodPost, "/dossiers/held", "p", hugePrompt) }()
	var holder *replica.Replica
	c.eventually("a helper that holds memory reads its part", func() bool {
		for _, r := range c.replicas {
			for _, command := range r.Commands() {
				id, _, _ := strings.Cut(command.Ticket, "-")
				if command.Operation == "reserve" && slices.Contains(c.log.Parts(id), r.ID) {
					holder = r
					return true
				}
			}
		}
		return false
	})
	other := c.crashAndReuse(holder, "i-other", "draft")
	got := <-response
	c.wantResponse(got, completeStream(got.id))
	return other
}

// The replica that holds memory for a prompt crashes while the response is sent. Guards against renewals that set memory aside at
// the replica of another service which has its address now.
func TestReservationIsNotRenewedAtReusedAddress(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	c := newAddressCluster(t, f)
	defer c.logOnFailure()
	other := c.crashHolder(f, replica.FaultPause)
	time.Sleep(releaseTime)
	c.wantOneMisdirectedOrder(other, "the first renewal ends the reservation")
}

// The same when the response ends before the first renewal. Guards against a release that another service carries out, and that
// is repeated though the memory has gone with its replica.
func TestReservationIsNotReleasedAtReusedAddress(t *testing.T) {
	t.Parallel()
	f := &faultInjector{}
	c := newAddressCluster(t, f)
	defer c.logOnFailure()
	other := c.crashHolder(f, replica.FaultNone)
	time.Sleep(releaseTime)
	c.wantOneMisdirectedOrder(other, "the first release says that the memory has gone")
}

// A helper replica that holds no memory crashes, and one of another service comes at its address. Guards against that one reading a
// part of the prompt, which names its helpers by their addresses.
func TestPartIsNotPrefilledAtReusedAddress(t *testing.T) {
	t.Parallel()
	c := newAddressCluster(t, &faultInjector{})
	defer c.logOnFailure()
	before := c.do(0, http.MethodPost, "/quotes/before", "p", longPrompt)
	c.wantResponse(before, completeStream(before.id))
	time.Sleep(2 * time.Second) // nothing is known any more of the replicas at the addresses
	other := c.crashAndReuse(c.awaitHelper(before.id), "i-other", "draft")
	c.sendUntil("the replica that has gone is named", "/quotes/after", longPrompt, func(id string) bool {
		c.wantNoPart(id, other)
		return slices.Contains(c.log.Parts(id), other.ID) || other.MisdirectedCommands() > 0
	})
	for h := range c.hosts {
		resp := c.do(h, http.MethodPost, "/quotes/later", "p", longPrompt)
		c.wantResponse(resp, completeStream(resp.id))
		c.wantNoPart(resp.id, other)
	}
	c.wantOneMisdirectedOrder(other, "the first one tells all hosts")
}

// misdirectedRequests returns how many requests to a replica have named another one.
func (c *cluster) misdirectedRequests(r *replica.Replica) int {
	n := 0
	for _, got := range c.log.Received(r.ID, time.Time{}) {
		if got.Header.Get("Expected-Instance") != r.ID {
			n++
		}
	}
	return n
}

// A replica crashes, and another one comes at its address that isn't listed yet. Guards against requests that each find out by
// themselves that the replica has gone: every one costs a retry.
func TestMisdirectedRequestTellsAllHosts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, &faultInjector{})
	defer c.logOnFailure()
	other := c.crashAndReuse(c.replicas[4], "i-other", "draft")
	sendAtOnce := func(n int) {
		var requests sync.WaitGroup
		for i := range n {
			path := "/lookups/" + strconv.Itoa(i)
			requests.Go(func() { c.wantResponse(c.get(i%2, path, nil), replica.PlainResponse(path, "")) })
		}
		requests.Wait()
		time.Sleep(refusalPause)
	}
	c.eventually("a request names the replica that has gone", func() bool {
		sendAtOnce(3)
		return c.misdirectedRequests(other) > 0
	})
	first := c.misdirectedRequests(other)
	for range 5 {
		sendAtOnce(40) // more than the other replicas of the service take at once
	}
	if n := c.misdirectedRequests(other); n != first {
		t.Errorf("%d requests named the replica that has gone, want %d: the first one tells all hosts", n, first)
	}
}

// A replica crashes, and another one of the same service comes at its address; the entries of both are listed for some time. Guards
// against requests, orders and confirmations that go to the one that has gone, all of which are in vain.
func TestEarlierReplicaAtAddressGetsNothing(t *testing.T) {
	t.Parallel()
	c := newAddressCluster(t, &faultInjector{})
	defer c.logOnFailure()
	var later []*replica.Replica
	for _, i := range []int{0, 4} {
		r := c.crashAndReuse(c.replicas[i], "i-later-"+strconv.Itoa(i), c.replicas[i].Service)
		c.store.Put("servers/"+r.ID, r.Entry("ready"))
		later = append(later, r)
	}
	c.eventually("both entries are known", func() bool {
		for _, h := range c.hosts {
			for _, r := range later {
				if !strings.Contains(h.logs.String(), `"replica":"`+r.ID) {
					return false
				}
			}
		}
		return true
	})
	time.Sleep(refusalPause)
	var logged []int // length of each host's log before the requests
	for _, h := range c.hosts {
		logged = append(logged, len(h.logs.String()))
	}
	c.eventually("the later replicas work", func() bool {
		var requests sync.WaitGroup
		for n := range 6 {
			requests.Go(func() { c.wantResponse(c.get(n%2, "/lookups/x", nil), replica.PlainResponse("/lookups/x", "")) })
			requests.Go(func() {
				resp := c.post(n%2, "/quotes/x", "p")
				c.wantResponse(resp, completeStream(resp.id))
			})
		}
		requests.Wait()
		resp := c.do(0, http.MethodPost, "/quotes/long", "p", longPrompt)
		c.wantResponse(resp, completeStream(resp.id))
		return !slices.ContainsFunc(later, func(r *replica.Replica) bool {
			return len(c.log.Received(r.ID, time.Time{})) == 0 && len(r.Commands()) == 0
		})
	})
	for i, h := range c.hosts {
		for line := range strings.Lines(h.logs.String()[logged[i]:]) {
			planned := strings.Contains(line, `"event":"request_planned"`)
			if planned && (strings.Contains(line, c.replicas[0].ID) || strings.Contains(line, c.replicas[4].ID)) {
				t.Errorf("a plan has a replica that has gone: %s", line)
			}
		}
	}
	for _, r := range later {
		if n, m := c.misdirectedRequests(r), r.MisdirectedCommands(); n+m > 0 {
			t.Errorf("%d requests and %d orders at %s named the replica that has gone", n, m, r.ID)
		}
	}
}
