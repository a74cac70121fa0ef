package host

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/spread"
)

const (
	spreadInterval = 100 * time.Millisecond
	spreadTimeout  = 2 * time.Second
)

// Carries out what a spread.Spreader decides.
type spreading struct {
	host   *Host
	mu     sync.Mutex // guards decide
	decide spread.Spreader
}

// Passes a configuration on that has come into force here.
func (s *spreading) changed(snapshot *spread.Snapshot) {
	s.step(func(now time.Time) []spread.Action { return s.decide.Changed(now, snapshot.Version, snapshot.Source) })
}

// Takes the version of another host from its heartbeat.
func (s *spreading) heard(host string, v protocol.ManifestVersion) {
	s.step(func(now time.Time) []spread.Action {
		s.decide.Heard(now, host, v)
		return nil
	})
}

func (s *spreading) setMembers(hosts []protocol.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decide.Members(hosts)
}

func (s *spreading) step(decide func(now time.Time) []spread.Action) {
	s.mu.Lock()
	actions := decide(time.Now())
	s.mu.Unlock()
	for _, a := range actions {
		go s.perform(a)
	}
}

func (s *spreading) run(ctx context.Context) error {
	ticker := time.NewTicker(spreadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.step(s.decide.Tick)
		}
	}
}

func (s *spreading) perform(a spread.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	switch a.Kind {
	case spread.ActionPush:
		s.push(ctx, a)
	case spread.ActionAnnounce:
		s.host.members.Announce(ctx, a.Host)
	case spread.ActionPull:
		s.pull(ctx, a)
	}
}

func (s *spreading) push(ctx context.Context, a spread.Action) {
	answer, err := s.host.transport.Call(ctx, a.Host.Address, &protocol.Message{Config: s.host.keeper.Pull(a.Have)})
	s.step(func(now time.Time) []spread.Action {
		if err != nil || answer.Config == nil {
			s.decide.PushFailed(now, a.Host.Name)
		} else {
			s.decide.Pushed(now, a.Host.Name, answer.Config.Version)
		}
		return nil
	})
}

func (s *spreading) pull(ctx context.Context, a spread.Action) {
	if s.offer(ctx, a) {
		return
	}
	s.host.metrics.Scope.Counter("config_pulls_failed").Inc(1)
	s.step(func(time.Time) []spread.Action {
		s.decide.PullFailed(a.Host.Name)
		return nil
	})
}

// Reports whether a pull brought something newer; where bodies are missing it asks for all.
func (s *spreading) offer(ctx context.Context, a spread.Action) bool {
	c, err := s.host.PullConfig(ctx, a.Host, a.Have)
	if err != nil {
		return false
	}
	changed, err := s.host.keeper.Offer(c)
	var failure *spread.Error
	if errors.As(err, &failure) && failure.Kind == spread.KindMissing {
		if c, err = s.host.PullConfig(ctx, a.Host, protocol.ManifestVersion{}); err == nil {
			changed, err = s.host.keeper.Offer(c)
		}
	}
	return err == nil && changed
}

// PullConfig asks a host for its configuration.
func (h *Host) PullConfig(ctx context.Context, from protocol.Host, have protocol.ManifestVersion) (*protocol.Config, error) {
	answer, err := h.transport.Call(ctx, from.Address, &protocol.Message{PullConfig: &protocol.PullConfig{Have: have}})
	if err != nil {
		return nil, err
	}
	if answer.Config == nil {
		return nil, errors.New("unexpected answer to a pull")
	}
	return answer.Config, nil
}

// Takes a configuration that a peer pushes and answers with the version in force afterwards.
func (h *Host) takeConfig(c *protocol.Config) *protocol.Config {
	if _, err := h.keeper.Offer(c); err != nil {
		h.metrics.Scope.Counter("config_pushes_refused").Inc(1)
	}
	return &protocol.Config{Version: h.keeper.Version()}
}

// Fetches the configuration before the host says that it is ready.
func (h *Host) startConfiguration(ctx context.Context) error {
	err := h.keeper.Start(ctx, h, func() []protocol.Host {
		return others(inDomain(h.members.Alive(), h.self.FailureDomain), h.self.Name)
	})
	if err == nil {
		h.configurationKnown.Store(true)
		h.duties.notify()
	}
	<-ctx.Done()
	return nil
}

func others(hosts []protocol.Host, name string) []protocol.Host {
	var rest []protocol.Host
	for _, x := range hosts {
		if x.Name != name {
			rest = append(rest, x)
		}
	}
	return rest
}
