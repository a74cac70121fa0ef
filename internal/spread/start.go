package spread

import (
	"context"
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/wait"
)

// StartTimeout bounds the wait for one source while a host starts.
const StartTimeout = 2 * time.Second

type (
	// Peers asks other hosts for their configuration.
	Peers interface {
		PullConfig(ctx context.Context, host protocol.Host, have protocol.ManifestVersion) (*protocol.Config, error)
	}

	// sources tells what the sources gave a host that starts.
	sources struct {
		store error // nil when the platform's manifest is in force or superseded
		peers bool  // a peer had a configuration
	}
)

// Start fetches the configuration before the host takes requests, again and again until it is certain or ctx ends.
//
// The host asks the platform and all given hosts, those of its failure domain, and takes the highest revision, so
// that one peer that lags puts no older one in force. The platform's answer may be a stale read and has to be proved
// by a write; only while the platform does not answer do peers suffice. It returns an *Error when ctx ends first.
func (k *Keeper) Start(ctx context.Context, peers Peers, hosts func() []protocol.Host) error {
	ctx = platform.WithPriority(ctx, platform.PriorityConfig)
	k.starting.Store(true)
	pause := newBackoff()
	for {
		got := k.ask(ctx, peers, hosts())
		if got.store == nil && !k.unproved {
			got.store = k.prove(ctx)
		}
		if got.store != nil && ctx.Err() != nil {
			return &Error{Op: "start", Kind: KindUnavailable, Err: got.store}
		}
		if got.store == nil || got.peers && unreachable(got.store) {
			k.starting.Store(false)
			return nil
		}
		wait.For(ctx, pause.NextBackOff())
	}
}

// Reports whether the platform gave no answer; peers stand in for no other failure, such as a stale read.
func unreachable(err error) bool {
	kind := platform.KindOf(err)
	return kind == platform.KindUnavailable || kind == platform.KindThrottled
}

// Asks all sources at once and waits for each, so that the highest revision of those that answer is in force.
func (k *Keeper) ask(ctx context.Context, peers Peers, hosts []protocol.Host) sources {
	ctx, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	var got sources
	var mu sync.Mutex // guards got
	var wg sync.WaitGroup
	wg.Go(func() {
		err := k.readStore(ctx)
		mu.Lock()
		defer mu.Unlock()
		got.store = err
	})
	for _, host := range hosts {
		wg.Go(func() {
			if k.pull(ctx, peers, host) {
				mu.Lock()
				defer mu.Unlock()
				got.peers = true
			}
		})
	}
	wg.Wait()
	return got
}

func (k *Keeper) readStore(ctx context.Context) error {
	m, _, err := k.readManifest(ctx)
	if err != nil {
		return err
	}
	return k.take(ctx, m)
}

// Offers a peer's configuration and reports whether the peer had one.
func (k *Keeper) pull(ctx context.Context, peers Peers, host protocol.Host) bool {
	c, err := peers.PullConfig(ctx, host, protocol.ManifestVersion{})
	if err != nil || c.Version.Revision == 0 {
		return false
	}
	_, err = k.Offer(c)
	return err == nil
}

// Proves that the manifest is the latest one by swapping it for itself, which fails if it was a stale read.
func (k *Keeper) prove(ctx context.Context) error {
	m, revision, err := k.readManifest(ctx)
	if err != nil {
		return err
	}
	if err := k.take(ctx, m); err != nil {
		return err
	}
	_, err = k.Store.Swap(ctx, manifest.Key, m.Encode(), revision, "")
	return err
}
