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
	spreadInterval = 100 * time.Millisecond // between checks for pushes to repeat and pulls that are due
	spreadTimeout  = 2 * time.Second        // of one push, announcement or pull
)

// distributor distributes configuration between hosts: it sends the messages that a spread.Distributor decides on and
// reports their results to it.
type distributor struct {
	host     *Host
	mu       sync.Mutex // guards spreader
	spreader spread.Distributor
}

// distribute forwards a configuration that has become active on this host to other hosts.
func (d *distributor) distribute(s *spread.Snapshot) {
	d.update(func(now time.Time) []spread.Action { return d.spreader.VersionActivated(now, s.Version, s.Source) })
}

// recordVersion records the configuration version that another host reported in a heartbeat.
func (d *distributor) recordVersion(host string, v protocol.ManifestVersion) {
	d.update(func(now time.Time) []spread.Action {
		d.spreader.VersionReported(now, host, v)
		return nil
	})
}

func (d *distributor) setMembers(hosts []protocol.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spreader.SetHosts(hosts)
}

// update calls decide with the spreader locked and performs the resulting actions in the background.
func (d *distributor) update(decide func(now time.Time) []spread.Action) {
	d.mu.Lock()
	actions := decide(time.Now())
	d.mu.Unlock()
	for _, a := range actions {
		go d.perform(a)
	}
}

func (d *distributor) run(ctx context.Context) error {
	ticker := time.NewTicker(spreadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.update(d.spreader.Tick)
		}
	}
}

func (d *distributor) perform(a spread.Action) {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	switch a.Kind {
	case spread.ActionPush:
		d.push(ctx, a)
	case spread.ActionAnnounce:
		d.host.members.SendGossip(ctx, a.Host)
	case spread.ActionPull:
		d.pull(ctx, a)
	}
}

func (d *distributor) push(ctx context.Context, a spread.Action) {
	response, err := d.host.transport.Call(ctx, a.Host.Address,
		&protocol.Message{Config: d.host.config.Pull(a.KnownVersion)})
	d.update(func(now time.Time) []spread.Action {
		if err != nil || response.Config == nil {
			d.spreader.PushFailed(now, a.Host.Name)
		} else {
			d.spreader.PushAnswered(now, a.Host.Name, response.Config.Version)
		}
		return nil
	})
}

func (d *distributor) pull(ctx context.Context, a spread.Action) {
	if d.pullAndOffer(ctx, a) {
		return
	}
	d.host.metrics.Scope.Counter("config_pulls_failed").Inc(1)
	d.update(func(time.Time) []spread.Action {
		d.spreader.PullFailed(a.Host.Name)
		return nil
	})
}

// pullAndOffer pulls the configuration of a host and reports whether it was newer than the active one. If section
// bodies are missing that this host doesn't have either, it pulls once more and asks for all bodies.
func (d *distributor) pullAndOffer(ctx context.Context, a spread.Action) bool {
	c, err := d.host.PullConfig(ctx, a.Host, a.KnownVersion)
	if err != nil {
		return false
	}
	changed, err := d.host.config.Offer(c)
	var failure *spread.Error
	if errors.As(err, &failure) && failure.Kind == spread.KindMissing {
		if c, err = d.host.PullConfig(ctx, a.Host, protocol.ManifestVersion{}); err == nil {
			changed, err = d.host.config.Offer(c)
		}
	}
	return err == nil && changed
}

// PullConfig asks a host for the parts of its configuration that version have lacks. It returns an error if the host
// does not respond with a configuration.
func (h *Host) PullConfig(ctx context.Context, from protocol.Host, have protocol.ManifestVersion) (*protocol.Config, error) {
	response, err := h.transport.Call(ctx, from.Address, &protocol.Message{PullConfig: &protocol.PullConfig{Have: have}})
	if err != nil {
		return nil, err
	}
	if response.Config == nil {
		return nil, errors.New("response to a configuration pull contains no configuration")
	}
	return response.Config, nil
}

// acceptPushedConfig activates a configuration pushed by a peer if it is newer, and returns a response with the version
// that is active afterwards.
func (h *Host) acceptPushedConfig(c *protocol.Config) *protocol.Config {
	if _, err := h.config.Offer(c); err != nil {
		h.metrics.Scope.Counter("config_pushes_refused").Inc(1)
	}
	return &protocol.Config{Version: h.config.Version()}
}

// startConfiguration fetches the configuration at startup, from the platform and the other hosts of the failure domain.
// The host is not ready before that; see Ready. Like every role, it then runs until ctx ends.
func (h *Host) startConfiguration(ctx context.Context) error {
	err := h.config.Start(ctx, h, func() []protocol.Host {
		return excludeHost(hostsInDomain(h.members.Alive(), h.self.FailureDomain), h.self.Name)
	})
	if err == nil {
		h.configurationKnown.Store(true)
		h.edgeTasks.notify()
	}
	<-ctx.Done()
	return nil
}

// excludeHost returns hosts without the one of the given name.
func excludeHost(hosts []protocol.Host, name string) []protocol.Host {
	var rest []protocol.Host
	for _, x := range hosts {
		if x.Name != name {
			rest = append(rest, x)
		}
	}
	return rest
}
