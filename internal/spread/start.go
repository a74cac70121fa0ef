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

// StartTimeout limits how long a starting host waits for the responses to one round of reads.
const StartTimeout = 2 * time.Second

type (
	// Peers fetches the configuration of other hosts.
	Peers interface {
		PullConfig(ctx context.Context, host protocol.Host, have protocol.ManifestVersion) (*protocol.Config, error)
	}

	// startResult is the result of reading the platform's store and the peers once.
	startResult struct {
		storeErr     error // nil if the store's manifest or a newer one is active
		peerAnswered bool  // a peer returned a valid configuration
	}
)

// Start fetches and activates the configuration before the host accepts requests. It retries until the configuration
// is verified to be the newest, or until ctx ends; then it returns an *Error.
//
// Each attempt reads the platform's store and all hosts that the function hosts returns, those of the failure domain,
// and activates the highest revision, so that a peer that lags behind does not cause an older revision to be used.
// The store's response may be a stale read and has to be verified by a write. The peers alone suffice only while the
// store does not answer.
func (ac *ActiveConfig) Start(ctx context.Context, peers Peers, hosts func() []protocol.Host) error {
	ctx = platform.WithPriority(ctx, platform.PriorityConfig)
	ac.starting.Store(true)
	pause := newBackoff()
	for {
		got := ac.querySources(ctx, peers, hosts())
		if got.storeErr == nil && !ac.skipStartVerification {
			got.storeErr = ac.verifyNewest(ctx)
		}
		if got.storeErr != nil && ctx.Err() != nil {
			return &Error{Op: "start", Kind: KindUnavailable, Err: got.storeErr}
		}
		if got.storeErr == nil || got.peerAnswered && unreachable(got.storeErr) {
			ac.starting.Store(false)
			return nil
		}
		wait.For(ctx, pause.NextBackOff())
	}
}

// Reports whether err means that the platform's store did not answer or throttled the call. Only then do the peers
// suffice; they do not after another failure, such as a stale read.
func unreachable(err error) bool {
	kind := platform.KindOf(err)
	return kind == platform.KindUnavailable || kind == platform.KindThrottled
}

// Reads the platform's store and all hosts concurrently and waits for all of them, so that afterwards the highest
// revision of those that answered is active.
func (ac *ActiveConfig) querySources(ctx context.Context, peers Peers, hosts []protocol.Host) startResult {
	ctx, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	var got startResult
	var mu sync.Mutex // guards got
	var wg sync.WaitGroup
	wg.Go(func() {
		err := ac.readStore(ctx)
		mu.Lock()
		defer mu.Unlock()
		got.storeErr = err
	})
	for _, host := range hosts {
		wg.Go(func() {
			if ac.pullFromPeer(ctx, peers, host) {
				mu.Lock()
				defer mu.Unlock()
				got.peerAnswered = true
			}
		})
	}
	wg.Wait()
	return got
}

// Activates the manifest that the platform's store returns, if it is newer than the active one.
func (ac *ActiveConfig) readStore(ctx context.Context) error {
	m, _, err := ac.readManifest(ctx)
	if err != nil {
		return err
	}
	return ac.activateManifest(ctx, m)
}

// Pulls a host's configuration, activates it if it is newer, and reports whether the host returned a valid one.
func (ac *ActiveConfig) pullFromPeer(ctx context.Context, peers Peers, host protocol.Host) bool {
	c, err := peers.PullConfig(ctx, host, protocol.ManifestVersion{})
	if err != nil || c.Version.Revision == 0 {
		return false
	}
	_, err = ac.Offer(c)
	return err == nil
}

// Verifies that the store's manifest is the newest by a compare-and-swap of the manifest with itself, which fails if
// the manifest was a stale read. The manifest is activated first.
func (ac *ActiveConfig) verifyNewest(ctx context.Context) error {
	m, revision, err := ac.readManifest(ctx)
	if err != nil {
		return err
	}
	if err := ac.activateManifest(ctx, m); err != nil {
		return err
	}
	_, err = ac.Store.CompareAndSwap(ctx, manifest.Key, m.Encode(), revision, "")
	return err
}
