//go:build soak

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/soak/paths"
	"github.com/turmericshunt/turmericshunt/internal/standin/relay"
)

const (
	cutNotice   = 3 * time.Second // from the beginning of a cut until hosts that are cut off must serve as others do
	cutRequests = 30              // first tries at each host
	cutServed   = 0.9             // least share of them that must be served
	// The maximum number of hosts between each two of which there is a relay; otherwise a cut concerns new connections only.
	mostHostRelays = 30
)

// pathFault is how paths from a host to replicas fail.
type pathFault int

const (
	pathSound   pathFault = iota
	pathSilent            // open connections are silent, new ones hang
	pathReset             // open connections are reset, new ones refused
	pathNewOnly           // open connections live on, new ones are refused
	pathFaults
)

// hostPaths are the paths of one host to all replicas.
type hostPaths struct {
	deployment *deployment
	file       string

	mu     sync.Mutex
	table  paths.Table
	relays map[netip.AddrPort]*relay.Relay // by address of the replica or host
	silent []netip.AddrPort                // replicas to which new connections hang
	cut    []netip.AddrPort                // other hosts, to which connections are silent or hang
	fault  pathFault                       // of the paths to replicas
	cutAt  time.Time                       // when the last cut from replicas began or ended
}

// cutSince reports whether paths to replicas are cut or have been since at.
func (p *hostPaths) cutSince(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault != pathSound || p.cutAt.After(at)
}

// newHostPaths returns the sound paths of a host, and writes their file.
func newHostPaths(d *deployment, file string) *hostPaths {
	d.t.Helper()
	p := &hostPaths{deployment: d, file: file, relays: make(map[netip.AddrPort]*relay.Relay)}
	p.table.Relays = make(map[netip.AddrPort]netip.AddrPort)
	for _, r := range d.replicas {
		p.relays[r.Address], p.table.Relays[r.Address] = startRelay(d.t, r.Address)
	}
	if *hostCount <= mostHostRelays {
		for _, peer := range d.peers {
			p.relays[peer], p.table.Relays[peer] = startRelay(d.t, peer)
		}
	}
	p.set(pathSound, "")
	return p
}

// cutFromHosts makes connections from this host to those with the given indices silent, and those to all other hosts sound.
func (p *hostPaths) cutFromHosts(hosts []int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = nil
	for _, i := range hosts {
		peer := p.deployment.peers[i]
		p.cut = append(p.cut, peer)
		if r := p.relays[peer]; r != nil {
			r.Blackhole()
		}
	}
	p.write()
}

// set gives the paths to the replicas of a service, or to all if it is "", a fault, and makes all others sound.
func (p *hostPaths) set(fault pathFault, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fault != pathSound || p.fault != pathSound {
		p.cutAt = time.Now()
	}
	p.fault = fault
	p.silent, p.table.Refused = nil, nil
	for _, r := range p.deployment.replicas {
		if service != "" && r.Service != service {
			continue
		}
		switch fault {
		case pathSilent:
			p.silent = append(p.silent, r.Address)
			p.relays[r.Address].Blackhole()
		case pathReset:
			p.table.Refused = append(p.table.Refused, r.Address)
			p.relays[r.Address].Reset()
		case pathNewOnly:
			p.table.Refused = append(p.table.Refused, r.Address)
		}
	}
	p.write()
}

// write writes the file. The caller holds mu.
func (p *hostPaths) write() {
	p.table.Silent = slices.Concat(p.silent, p.cut)
	if err := p.table.Write(p.file); err != nil {
		p.deployment.t.Error(err)
	}
}

// randomCut returns a fault of paths and the service whose replicas it concerns, "" for all.
func randomCut(random *rand.Rand) (pathFault, string) {
	fault := pathFault(1 + random.IntN(int(pathFaults)-1))
	return fault, []string{"", "", "order-desk", "quote-llm"}[random.IntN(4)]
}

// hostsToCut returns hosts that lose their paths: some, at most the given number, or a whole failure domain.
func (d *deployment) hostsToCut(random *rand.Rand, most int) []*host {
	var hosts []*host
	if random.IntN(3) == 0 {
		domain := failureDomain(random.IntN(len(d.hosts)))
		for _, h := range d.hosts {
			if h.domain == domain {
				hosts = append(hosts, h)
			}
		}
		return hosts
	}
	for _, i := range random.Perm(len(d.hosts))[:1+random.IntN(most)] {
		hosts = append(hosts, d.hosts[i])
	}
	return hosts
}

// startCuts takes paths to replicas from hosts while the other faults go on: from one, several or one after the other. It draws
// from a random source of its own, so that inject draws the same faults as ever.
func (c *checker) startCuts(seed uint64, wg *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(seed, 8))
	wg.Add(1)
	go func() {
		defer wg.Done()
		for end := time.Now().Add(*faultDuration); time.Now().Before(end); {
			time.Sleep(time.Duration(300+random.IntN(2000)) * time.Millisecond)
			fault, service := randomCut(random)
			cut := c.deployment.hostsToCut(random, len(c.deployment.hosts))
			for _, h := range cut {
				h.paths.set(fault, service)
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			}
			time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
			for _, h := range cut {
				h.paths.set(pathSound, "")
			}
		}
	}()
}

// checkCut cuts some of the hosts off from replicas once all other faults have ended, and fails the test unless these and
// the others serve nearly all of their first tries once the cut must have been noticed.
func (c *checker) checkCut(random *rand.Rand) {
	d := c.deployment
	fault, service := randomCut(random)
	cut := make(map[*host]bool)
	for _, h := range d.hostsToCut(random, len(d.hosts)*2/3) {
		cut[h] = true
		h.paths.set(fault, service)
	}
	time.Sleep(cutNotice)
	c.mu.Lock()
	c.refusals = make(map[string]int)
	c.mu.Unlock()
	var wg sync.WaitGroup
	served := make([]int, len(d.hosts))
	for i, h := range d.hosts {
		random := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := newClient()
			for range cutRequests {
				time.Sleep(time.Duration(random.IntN(10*len(d.hosts))) * time.Millisecond)
				if c.send(client, h, kinds[random.IntN(len(kinds))], d.newestKey()) {
					served[i]++
				}
			}
		}()
	}
	wg.Wait()
	for i, h := range d.hosts {
		if float64(served[i]) < cutServed*cutRequests {
			d.t.Errorf("%s, cut off: %v (fault %d, service %q), served %d of %d first tries; refused: %v", h.name, cut[h], fault,
				service, served[i], cutRequests, c.refusalsOf(h))
		}
	}
	for h := range cut {
		h.paths.set(pathSound, "")
	}
}

// refusalsOf returns the refusals of a host since checkCut began, by path prefix and cause.
func (c *checker) refusalsOf(h *host) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var refusals []string
	for refusal, n := range c.refusals {
		if len(refusal) > len(h.name) && refusal[:len(h.name)+1] == h.name+" " {
			refusals = append(refusals, fmt.Sprintf("%s: %d", refusal[len(h.name)+1:], n))
		}
	}
	return refusals
}
