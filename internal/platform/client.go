package platform

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const defaultTimeout = 2 * time.Second

// Client calls the platform. Its exported fields must be set before the first call.
type Client struct {
	Endpoint        netip.AddrPort // address of the platform
	HTTPClient      *http.Client   // nil means a client with a transport of its own
	WritesPerSecond float64        // 0 means no limit
	ReadsPerSecond  float64        // 0 means no limit
	Host            string         // name of this host, by which the platform counts calls
	FailureDomain   string         // failure domain of this host
	Timeout         time.Duration  // of one attempt, in addition to the wait of a watch; 0 means 2 s
	Seed            uint64         // of the jitter of the circuit breaker
	Metrics         tally.Scope    // nil means no metrics
	Log             *slog.Logger   // nil means no log

	clientState
}

// Get returns the entry of key. It returns an *Error if the call fails, of KindNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (platformapi.Entry, error) {
	var e platformapi.Entry
	err := c.read(ctx, &call{op: "get", path: kvPath(key), out: &e})
	return e, err
}

// CompareAndSwap writes value to key if the current revision of key is revision, and returns the new revision. A
// revision of 0 means that the key must not exist. If lease is not empty, the key is deleted when that lease expires.
// It returns an *Error if the call fails: of KindConflict if the revision differs, of KindLeaseExpired if the lease
// has expired.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64,
	error,
) {
	if len(value) > platformapi.MaxValueBytes {
		return 0, &Error{Op: "swap", Kind: KindInvalid}
	}
	query := url.Values{"cas": {strconv.FormatUint(revision, 10)}}
	if lease != "" {
		query.Set("lease", lease)
	}
	var w platformapi.Written
	err := c.write(ctx, &call{
		op: "swap", method: http.MethodPut, path: kvPath(key), query: query,
		body: bytes.Clone(value), notFoundKind: KindLeaseExpired, out: &w,
	})
	return w.Revision, err
}

// Delete deletes key if its current revision is revision. It returns an *Error if the call fails: of KindConflict if
// the revision differs, of KindNotFound if the key does not exist.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	query := url.Values{"cas": {strconv.FormatUint(revision, 10)}}
	return c.write(ctx, &call{op: "delete", method: http.MethodDelete, path: kvPath(key), query: query})
}

// List returns the entries whose keys start with prefix, or an *Error if the call fails.
func (c *Client) List(ctx context.Context, prefix string) (platformapi.Entries, error) {
	var e platformapi.Entries
	query := url.Values{"list": {"1"}}
	err := c.read(ctx, &call{op: "list", path: kvPath(prefix), query: query, out: &e})
	return e, err
}

// Watch waits for a change after index to an entry whose key starts with prefix, but no longer than wait. It returns
// all entries whose keys start with prefix, or an *Error if the call fails.
func (c *Client) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (platformapi.Entries, error) {
	var e platformapi.Entries
	query := waitQuery(index, wait)
	query.Set("list", "1")
	err := c.read(ctx, &call{op: "watch", path: kvPath(prefix), query: query, responseDelay: wait, out: &e})
	return e, err
}

// Hosts waits for a change of the host list after index, but no longer than wait. It returns the list, or an *Error if
// the call fails.
func (c *Client) Hosts(ctx context.Context, index uint64, wait time.Duration) (platformapi.Hosts, error) {
	var h platformapi.Hosts
	err := c.read(ctx, &call{op: "hosts", path: "/v1/hosts", query: waitQuery(index, wait), responseDelay: wait, out: &h})
	return h, err
}

// GrantLease creates a lease that expires after ttl unless it is renewed. It returns an *Error if the call fails.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (platformapi.Lease, error) {
	var l platformapi.Lease
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	err := c.write(ctx, &call{op: "grant_lease", method: http.MethodPut, path: "/v1/leases", query: query, out: &l})
	return l, err
}

// RenewLease restarts the time to live of a lease. It returns an *Error if the call fails, of KindLeaseExpired if the
// lease has expired.
func (c *Client) RenewLease(ctx context.Context, id string) (platformapi.Lease, error) {
	var l platformapi.Lease
	err := c.write(ctx, &call{
		op: "renew_lease", method: http.MethodPost, path: "/v1/leases/" + id, notFoundKind: KindLeaseExpired, out: &l,
	})
	return l, err
}

// RevokeLease deletes a lease and its keys. It returns an *Error if the call fails, of KindLeaseExpired if the lease
// has expired.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	return c.write(ctx, &call{
		op: "revoke_lease", method: http.MethodDelete, path: "/v1/leases/" + id, notFoundKind: KindLeaseExpired,
	})
}

func kvPath(key string) string { return "/v1/kv/" + key }

func waitQuery(index uint64, wait time.Duration) url.Values {
	return url.Values{
		"index":   {strconv.FormatUint(index, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}
