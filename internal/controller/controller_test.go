package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/engine"
	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	standin "github.com/turmericshunt/turmericshunt/internal/standin/platform"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// engines simulates the engines of a failure domain. Commands of a host in delay arrive late, even if its client has
// timed out by then.
type engines struct {
	mu       sync.Mutex
	states   map[string]*engineapi.State // by engine
	loads    []time.Time                 // when load_model commands arrived
	commands []string                    // host, engine and fencing number of each command that took effect
	delay    map[string]time.Duration    // by host
}

// newEngines returns one engine for each argument, which says whether it checks fencing numbers.
func newEngines(checks ...bool) *engines {
	e := &engines{states: map[string]*engineapi.State{}, delay: map[string]time.Duration{}}
	for i, c := range checks {
		e.states[server(i).Name] = &engineapi.State{ChecksFencing: c}
	}
	return e
}

func (e *engines) servers() []protocol.Server {
	var servers []protocol.Server
	for i := range e.states {
		servers = append(servers, protocol.Server{Name: i})
	}
	return servers
}

// version returns the version of the first model or adapter that the engine has loaded, or "".
func (e *engines) version(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.states[name].Loaded {
		return l.Version
	}
	return ""
}

// client is one host's client of the engines.
type client struct {
	*engines
	host string
}

func (c client) State(_ context.Context, s protocol.Server) (engineapi.State, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *c.states[s.Name], nil
}

func (c client) Command(ctx context.Context, s protocol.Server, o engineapi.Command) (engineapi.CommandResult, error) {
	done := make(chan error, 1)
	go func() {
		c.mu.Lock()
		delay := c.delay[c.host]
		c.mu.Unlock()
		time.Sleep(delay)
		done <- c.deliver(s, o)
	}()
	select {
	case err := <-done:
		return engineapi.CommandResult{Fencing: o.Fencing}, err
	case <-ctx.Done():
		return engineapi.CommandResult{}, &engine.Error{Op: "order", Kind: engine.KindTimeout}
	}
}

// deliver carries out a command on the engine, which refuses an old fencing number if it checks them.
func (c client) deliver(s protocol.Server, o engineapi.Command) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.states[s.Name]
	if state.ChecksFencing && o.Fencing < state.Fencing {
		return &engine.Error{Op: "order", Kind: engine.KindRefused, Refusal: engineapi.RefusalFencing}
	}
	state.Fencing = max(state.Fencing, o.Fencing)
	applyCommand(state, o)
	c.commands = append(c.commands, fmt.Sprint(c.host, " ", s.Name, " ", o.Fencing))
	if o.Kind == CommandLoadModel {
		c.loads = append(c.loads, time.Now())
	}
	return nil
}

// fixture is a stand-in of the platform with simulated engines.
type fixture struct {
	platform *standin.Server
	engines  *engines
}

// controller returns the controller of a host whose configuration has the given version of the model m.
func (f *fixture) controller(host, version string, loadsPerMin float64) *Controller {
	d := &document.Document{
		Models:  []document.Model{{Name: "m", Version: version}},
		Engines: document.Engines{LoadsPerMinute: loadsPerMin},
	}
	return &Controller{
		Store: &platform.Client{
			Endpoint: netip.MustParseAddrPort("127.0.0.1:1"), Host: host,
			HTTPClient: &http.Client{Transport: &standin.InProcess{Server: f.platform}},
		},
		Engines: client{f.engines, host}, Host: protocol.Host{Name: host}, FailureDomain: "a",
		Configuration: func() *document.Document { return d }, Servers: f.engines.servers,
		Metrics: tally.NoopScope, Log: slog.New(slog.DiscardHandler),
	}
}

func newFixture(checks ...bool) *fixture {
	return &fixture{platform: &standin.Server{}, engines: newEngines(checks...)}
}

func TestConvergesAndPacesLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true, true, true)
		ctx, cancel := context.WithCancel(t.Context())
		go f.controller("a", "1", 12).Run(ctx)
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		if len(f.engines.loads) != 3 {
			t.Fatalf("%d loads, want 3", len(f.engines.loads))
		}
		for i := 1; i < 3; i++ {
			if gap := f.engines.loads[i].Sub(f.engines.loads[i-1]); gap < 5*time.Second {
				t.Errorf("loads %v apart, want at least 5s", gap)
			}
		}
	})
}

func TestNextHolderAfterRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		first, stop := context.WithCancel(t.Context())
		go f.controller("a", "1", 600).Run(first)
		time.Sleep(5 * time.Second)
		second, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.controller("b", "2", 600).Run(second)
		time.Sleep(5 * time.Second)
		if got := f.engines.version("g0"); got != "1" {
			t.Errorf("version %q is loaded while the first holder has the lease", got)
		}
		stop()
		time.Sleep(5 * time.Second)
		if got := f.engines.version("g0"); got != "2" {
			t.Errorf("version %q is loaded after the lease was released", got)
		}
	})
}

func TestRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		c := f.controller("a", "1", 600)
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			c.Run(ctx)
			cancel()
			if got := f.engines.version("g0"); got != "1" {
				t.Errorf("version %q is loaded", got)
			}
			f.engines.states["g0"].Loaded = nil
		}
	})
}

// A lease holder's command is in flight for longer than its lease lasts, while another host acquires the lease. An
// engine that checks fencing numbers must refuse the command; on any other one the new holder must undo its effect.
func TestLateOrder(t *testing.T) {
	for name, checks := range map[string]bool{"engine that checks": true, "engine that does not check": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(checks)
				f.engines.delay["a"] = 45 * time.Second
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.controller("a", "1", 600).Run(ctx)
				time.Sleep(15 * time.Second) // the command has been sent
				f.platform.SetFaults(platformapi.Faults{CutOffHosts: []string{"a"}})
				go f.controller("b", "2", 600).Run(ctx)
				time.Sleep(30 * time.Second)
				if got := f.engines.version("g0"); got != "2" {
					t.Errorf("version %q is loaded, want the one of the new holder", got)
				}
				time.Sleep(90 * time.Second) // the late command has arrived
				if got := f.engines.version("g0"); got != "2" {
					t.Errorf("version %q is loaded after the late command", got)
				}
				late := 0
				for _, o := range f.engines.commands {
					if o[0] == 'a' {
						late++
					}
				}
				if (late == 0) != checks {
					t.Errorf("%d late commands took effect: %v", late, f.engines.commands)
				}
			})
		})
	}
}

// The responses to the first writes to the store are lost; the controller must acquire the lease all the same.
func TestAcquireAfterLostResponses(t *testing.T) {
	for lost := range 3 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(true)
				f.platform.SetFaults(platformapi.Faults{LoseWriteAnswers: lost})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.controller("a", "1", 600).Run(ctx)
				time.Sleep(30 * time.Second)
				if got := f.engines.version("g0"); got != "1" {
					t.Errorf("version %q is loaded", got)
				}
			})
		})
	}
}

// A new lease holder sends no command to an engine that does not check fencing numbers until commands of an earlier
// holder have arrived, for which it waits DefaultTTL and DefaultLeaseMargin.
func TestWaitsOutTheOldLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.controller("a", "1", 600).Run(ctx)
		time.Sleep(DefaultTTL + DefaultLeaseMargin - time.Second)
		if got := f.engines.version("g0"); got != "" {
			t.Errorf("version %q is loaded too early", got)
		}
		time.Sleep(3 * time.Second)
		if got := f.engines.version("g0"); got != "1" {
			t.Errorf("version %q is loaded", got)
		}
	})
}

// A lease holder that is cut off from the platform sends no command once its lease may have expired.
func TestSendsNothingAfterLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(true)
		c := f.controller("a", "1", 600)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go c.Run(ctx)
		time.Sleep(5 * time.Second)
		f.platform.SetFaults(platformapi.Faults{Hang: true})
		time.Sleep(DefaultTTL)
		f.engines.mu.Lock()
		f.engines.states["g0"].Loaded = nil
		f.engines.mu.Unlock()
		time.Sleep(30 * time.Second)
		if got := f.engines.version("g0"); got != "" {
			t.Errorf("version %q was loaded without a lease", got)
		}
	})
}
