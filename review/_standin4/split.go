package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	splitHosts     = 10
	splitAdded     = 2                      // machines that come in place of those that are lost
	addedAfter     = 200 * time.Millisecond // how long after the loss they come
	settleTime     = 12 * time.Second       // longer than a host's announcement in the store lasts
	serverLimit    = 20.0                   // requests a second
	stableWindow   = 3 * time.Second        // stableWindowMs
	limitWindow    = 4 * time.Second
	limitOver      = 1.5
	limitSlack     = 5
	passedOnFor    = 500 * time.Millisecond // since when a machine must have passed on an answer that names the limit
	limitLoadTime  = 14 * time.Second
	clientsPerHost = 4
	limitID        = "load-" // begins the Request-Id of each request of the load
)

// splitCase: the machine that plans for all and another one are lost for good, and two new ones come at other addresses. Later the
// replicas name a limit.
func splitCase(w *world) (verdict, error) {
	w.store.put("op/config", plainConfiguration())
	var replicas []*replica
	for n := range 2 {
		r, err := w.startReplica(fmt.Sprintf("i-o%d", n+1), "order-desk", "", false)
		if err != nil {
			return failed, err
		}
		replicas = append(replicas, r)
	}
	w.addHosts(splitHosts, 206)
	planner, next, err := w.findPlanners()
	if err != nil {
		return failed, err
	}
	seeds := []string{planner.control, freeAddress(), freeAddress()}
	if err := w.startAll(w.hosts, seeds); err != nil {
		return failed, err
	}
	time.Sleep(settleTime)
	w.recordPlanners()
	lost := []*host{planner}
	for _, h := range w.hosts {
		if len(lost) < splitAdded && h != planner && h != next {
			lost = append(lost, h)
		}
	}
	if trouble() {
		for _, h := range lost {
			w.record("%s loses power for good", h.name)
			_ = h.cmd.Process.Signal(syscall.SIGSTOP)
			h.lost = true
		}
	}
	time.Sleep(addedAfter)
	w.addHosts(splitAdded, 206)
	w.record("%d machines are added", splitAdded)
	if err := w.startAll(w.hosts[splitHosts:], seeds); err != nil {
		return failed, err
	}
	time.Sleep(settleTime)
	w.recordPlanners()
	for _, r := range replicas {
		r.mu.Lock()
		r.limit = serverLimit
		r.mu.Unlock()
	}
	w.record("the replicas name a limit of %v requests a second", serverLimit)
	named := time.Now()
	passedOn := w.load()
	w.recordPlanners()
	return w.judgeLimits(replicas, named.Add(stableWindow), passedOn), nil
}

// findPlanners starts the hosts, asks which one plans for all and which one does when that has gone, and ends them again.
func (w *world) findPlanners() (planner, next *host, err error) {
	if err := w.startAll(w.hosts, []string{w.hosts[0].control, w.hosts[1].control}); err != nil {
		return nil, nil, err
	}
	time.Sleep(4 * time.Second)
	planner = w.hostAt(w.hosts[0].planner())
	if planner == nil {
		return nil, nil, errors.New("no host is the planner")
	}
	_ = planner.cmd.Process.Signal(syscall.SIGKILL)
	<-planner.done
	time.Sleep(3 * time.Second)
	for _, h := range w.hosts {
		if h != planner {
			next = w.hostAt(h.planner())
			break
		}
	}
	w.stop()
	if next == nil || next == planner {
		return nil, nil, errors.New("no host has taken over as planner")
	}
	return planner, next, nil
}

// hostAt returns the host with a control address, nil if there is none.
func (w *world) hostAt(control string) *host {
	for _, h := range w.hosts {
		if h.control == control {
			return h
		}
	}
	return nil
}

// planner returns the control address of the host that plans for h, empty if it doesn't answer.
func (h *host) planner() string {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + h.status + "/status")
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	var status struct {
		Planner string `json:"planner"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&status)
	return status.Planner
}

// recordPlanners records which hosts plan for how many.
func (w *world) recordPlanners() {
	count := make(map[string]int)
	for _, h := range w.hosts {
		count[h.planner()]++
	}
	var text []string
	for _, h := range w.hosts {
		if n := count[h.control]; n > 0 {
			text = append(text, fmt.Sprintf("%s plans for %d", h.name, n))
		}
	}
	w.record("hosts: %s; %d don't answer", strings.Join(text, ", "), count[""])
}

// load lets clients send requests to the hosts, one after the other each, for limitLoadTime. It returns when each host has first
// passed on an answer that names a limit, by its name.
func (w *world) load() map[string]time.Time {
	passedOn := make(map[string]time.Time)
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(limitLoadTime)
	for _, h := range w.hosts {
		for c := range clientsPerHost {
			if h.lost {
				continue
			}
			clients.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s%s/%d-%d", limitID, h.name, c, n)
					a := w.call(h, http.MethodGet, "/lookups/1", id, nil, nil, 2*time.Second)
					mu.Lock()
					if a.header.Get("Server-Limit") != "" && passedOn[h.name].IsZero() {
						passedOn[h.name] = time.Now()
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	return passedOn
}

// arrival is a request that has reached a replica which names a limit.
type arrival struct {
	at   time.Time
	host string // that the client has sent it to
}

// nameLimit names the limit of the replica in its answer, if it has one.
func (r *replica) nameLimit(w http.ResponseWriter, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit == 0 {
		return
	}
	host, _, _ := strings.Cut(strings.TrimPrefix(id, limitID), "/")
	r.arrivals = append(r.arrivals, arrival{at: time.Now(), host: host})
	w.Header().Set("Server-Limit", strconv.FormatFloat(r.limit, 'f', 1, 64))
}

// judgeLimits returns broken if one of the replicas has got more requests in a window after the given time than its limit allows, from
// hosts that had passed on its limit.
func (w *world) judgeLimits(replicas []*replica, since time.Time, passedOn map[string]time.Time) verdict {
	v := held
	allowed := limitOver*serverLimit*limitWindow.Seconds() + limitSlack
	for _, r := range replicas {
		r.mu.Lock()
		var counted []time.Time
		for _, a := range r.arrivals {
			first := passedOn[a.host]
			if !first.IsZero() && a.at.Sub(first) >= passedOnFor && !a.at.Before(since) {
				counted = append(counted, a.at)
			}
		}
		r.mu.Unlock()
		most := 0
		for i, first := range counted {
			n := 0
			for _, at := range counted[i:] {
				if at.Sub(first) < limitWindow {
					n++
				}
			}
			most = max(most, n)
		}
		w.record("%s got %d requests in the worst %v; %.0f are allowed", r.id, most, limitWindow, allowed)
		if float64(most) > allowed {
			v = broken
		}
	}
	return v
}
