package spread

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	standin "github.com/turmericshunt/turmericshunt/internal/standin/platform"
	"github.com/turmericshunt/turmericshunt/internal/violation"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

func TestMain(m *testing.M) {
	if err := violation.FixSeed(); err != nil {
		panic(err)
	}
	m.Run()
}

// fleet is a set of hosts, each with its own ActiveConfig, that share one stand-in of the platform's store.
type fleet struct {
	server      *standin.Server
	configs     map[string]*ActiveConfig
	partitioned map[string]bool // hosts that don't answer their peers
}

func newFleet(names ...string) *fleet {
	f := &fleet{server: &standin.Server{}, configs: map[string]*ActiveConfig{}, partitioned: map[string]bool{}}
	for _, name := range names {
		f.restart(name)
	}
	return f
}

// Replaces a host's ActiveConfig with one that has no configuration yet, and returns it.
func (f *fleet) restart(name string) *ActiveConfig {
	f.configs[name] = &ActiveConfig{
		Store: f.client(name), Now: time.Now, Metrics: tally.NoopScope,
		Log: slog.New(slog.DiscardHandler),
	}
	return f.configs[name]
}

func (f *fleet) client(name string) *platform.Client {
	return &platform.Client{
		Endpoint: netip.MustParseAddrPort("127.0.0.1:1"), Host: name,
		HTTPClient: &http.Client{Transport: &standin.InProcess{Server: f.server}},
	}
}

// PullConfig returns the named host's configuration, or an error if that host does not exist or is partitioned.
func (f *fleet) PullConfig(_ context.Context, host protocol.Host, have protocol.ManifestVersion) (*protocol.Config, error) {
	if f.partitioned[host.Name] || f.configs[host.Name] == nil {
		return nil, errors.New("no answer")
	}
	return f.configs[host.Name].Pull(have), nil
}

func services(n int) []byte { return []byte(fmt.Sprintf(`[{"name": "s", "deadline": "%ds"}]`, n)) }

func apply(t *testing.T, k *ActiveConfig, body []byte, base uint64) AcceptedChange {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	a, err := k.Apply(ctx, Change{Section: document.SectionServices, Body: body, Base: base, Author: "ana", Reason: "test"})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func wantRevision(t *testing.T, k *ActiveConfig, revision uint64) {
	t.Helper()
	if got := k.Version().Revision; got != revision {
		t.Errorf("revision %d is active, want %d", got, revision)
	}
}

func hosts(names ...string) func() []protocol.Host {
	return func() []protocol.Host {
		var hosts []protocol.Host
		for _, name := range names {
			hosts = append(hosts, protocol.Host{Name: name, FailureDomain: "a"})
		}
		return hosts
	}
}

func TestApplyWatchAndPull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.configs["b"].Watch(ctx)
		apply(t, f.configs["a"], services(1), 0)
		apply(t, f.configs["a"], services(2), 1)
		time.Sleep(time.Second)
		wantRevision(t, f.configs["a"], 2)
		wantRevision(t, f.configs["b"], 2)
		changed, err := f.configs["c"].Offer(f.configs["b"].Pull(protocol.ManifestVersion{}))
		if !changed || err != nil {
			t.Errorf("offer: %v, %v", changed, err)
		}
		if got := f.configs["c"].Current().Document.Services[0].Deadline; got != document.Duration(2*time.Second) {
			t.Errorf("deadline %v is active, want 2s", got)
		}
		if c := f.configs["b"].Pull(f.configs["c"].Version()); c.Manifest != nil || c.Version.Revision != 2 {
			t.Errorf("a peer with the active version got %+v, want the version alone", c)
		}
	})
}

// A pull sends only the bodies that changed since the peer's version. A peer that lacks the others gets KindMissing.
func TestPullLeavesOutWhatThePeerHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b")
		apply(t, f.configs["a"], services(1), 0)
		first := f.configs["a"].Pull(protocol.ManifestVersion{})
		have := f.configs["a"].Version()
		change := Change{Section: document.SectionEngines, Body: []byte(`{}`)}
		if _, err := f.configs["a"].Apply(t.Context(), change); err != nil {
			t.Fatal(err)
		}
		second := f.configs["a"].Pull(have)
		if len(second.Bodies) != 1 {
			t.Errorf("%d bodies were sent, want 1", len(second.Bodies))
		}
		_, err := f.configs["b"].Offer(second)
		var e *Error
		if !errors.As(err, &e) || e.Kind != KindMissing {
			t.Errorf("got %v, want a missing body", err)
		}
		f.configs["b"].Offer(first)
		f.configs["b"].Offer(second)
		wantRevision(t, f.configs["b"], 2)
	})
}

// A write whose response is lost may have taken effect. Apply must still accept the change exactly once.
func TestApplyRecoversFromLostAnswers(t *testing.T) {
	for lost := range 6 {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("a")
				f.server.SetFaults(platformapi.Faults{LoseWriteAnswers: lost})
				if a := apply(t, f.configs["a"], services(1), 0); a.Revision != 1 {
					t.Errorf("accepted at %d, want 1", a.Revision)
				}
				wantRevision(t, f.configs["a"], 1)
			})
		})
	}
}

// If ctx ends during the swap of the manifest, the outcome is unknown; repeating the change with its ID determines it.
func TestApplyReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a")
		f.server.SetFaults(platformapi.Faults{LateMS: 900})
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond) // expires during the swap of the manifest
		defer cancel()
		change := Change{ID: "c1", Section: document.SectionServices, Body: services(1)}
		_, err := f.configs["a"].Apply(ctx, change)
		var e *Error
		if !errors.As(err, &e) || e.Kind != KindUnknown {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
		f.server.SetFaults(platformapi.Faults{})
		if a, err := f.configs["a"].Apply(t.Context(), change); err != nil || a.Revision != 1 {
			t.Errorf("repeating the change returned %+v, %v, want revision 1", a, err)
		}
	})
}

func TestApplyRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a")
		apply(t, f.configs["a"], services(1), 0)
		_, err := f.configs["a"].Apply(t.Context(), Change{Section: document.SectionServices, Body: services(2)})
		var conflict *manifest.Error
		if !errors.As(err, &conflict) || conflict.Kind != manifest.KindConflict || !strings.Contains(conflict.Diff, `"1s"`) {
			t.Errorf("got %v, want a conflict with a diff", err)
		}
		rule := []byte(`[{"service": "x", "method": "POST", "path_prefix": "/"}]`)
		_, err = f.configs["a"].Apply(t.Context(), Change{Section: document.SectionNonIdempotent, Body: rule})
		var invalid *document.Error
		if !errors.As(err, &invalid) || invalid.Path != "non_idempotent[0].service" {
			t.Errorf("got %v, want an error at non_idempotent[0].service", err)
		}
		f.server.SetFaults(platformapi.Faults{Down: true})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err = f.configs["a"].Apply(ctx, Change{Section: document.SectionServices, Body: services(3), Base: 1})
		var e *Error
		if !errors.As(err, &e) || e.Kind != KindUnavailable {
			t.Errorf("got %v, want unavailable", err)
		}
	})
}

func TestStart(t *testing.T) {
	tests := []struct {
		name   string
		faults platformapi.Faults
		peers  []string
		want   uint64 // revision that is active after the start; 0 if Start must fail
	}{
		{"store and peers", platformapi.Faults{}, []string{"lagging", "latest"}, 3},
		{"store alone", platformapi.Faults{}, nil, 3},
		{"stale reads, lagging peer", platformapi.Faults{StaleReads: true}, []string{"lagging"}, 0},
		{"outage", platformapi.Faults{Down: true}, []string{"lagging", "latest"}, 3},
		{"hanging store", platformapi.Faults{Hang: true}, []string{"lagging", "latest"}, 3},
		{"outage without peers", platformapi.Faults{Down: true}, nil, 0},
		{"outage and peers without configuration", platformapi.Faults{Down: true}, []string{"empty"}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("latest", "lagging", "empty", "new")
				apply(t, f.configs["latest"], services(1), 0)
				f.configs["lagging"].Offer(f.configs["latest"].Pull(protocol.ManifestVersion{}))
				apply(t, f.configs["latest"], services(2), 1)
				apply(t, f.configs["latest"], services(3), 2)
				f.server.SetFaults(test.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				err := f.configs["new"].Start(ctx, f, hosts(test.peers...))
				if started := err == nil; started != (test.want > 0) {
					t.Errorf("start: %v, revision %d", err, f.configs["new"].Version().Revision)
				}
				if test.want > 0 {
					wantRevision(t, f.configs["new"], test.want)
				}
			})
		})
	}
}

func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a")
		for i := range 3 {
			apply(t, f.configs["a"], services(i+1), uint64(i))
		}
		records, err := f.configs["a"].History(t.Context(), 2)
		if err != nil || len(records) != 2 {
			t.Fatalf("got %d records, %v", len(records), err)
		}
		r := records[0]
		if r.Revision != 3 || r.Change.Author != "ana" || !strings.Contains(r.Diff, "-    \"deadline\": \"2s\"\n+    \"deadline\": \"3s\"") {
			t.Errorf("got %+v", r)
		}
	})
}
