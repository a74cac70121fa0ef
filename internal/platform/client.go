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

// Client calls the platform; its fields are set before the first call.
type Client struct {
	Endpoint        netip.AddrPort
	HTTP            *http.Client  // nil makes a client with a transport of its own
	WritesPerSecond float64       // 0 means no limit
	ReadsPerSecond  float64       // 0 means no limit
	Host            string        // this host's name, for the platform's counts
	FailureDomain   string        // this host's failure domain
	Timeout         time.Duration // of one call beside a watch's wait; 0 means 2 s
	Seed            uint64        // of the jitter
	Metrics         tally.Scope   // nil counts nothing
	Log             *slog.Logger  // nil logs nothing

	state
}

// Get returns the entry of key, or an *Error.
func (c *Client) Get(ctx context.Context, key string) (platformapi.Entry, error) {
	var e platformapi.Entry
	err := c.read(ctx, &call{op: "get", path: kvPath(key), out: &e})
	return e, err
}

// Swap writes value if key's revision is still revision, where 0 creates, and returns the new revision or an *Error.
func (c *Client) Swap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error) {
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
		body: bytes.Clone(value), missing: KindLapsed, out: &w,
	})
	return w.Revision, err
}

// Delete deletes key if its revision is still revision, or returns an *Error.
func (c *Client) Delete(ctx context.Context, key string, revision uint64) error {
	query := url.Values{"cas": {strconv.FormatUint(revision, 10)}}
	return c.write(ctx, &call{op: "delete", method: http.MethodDelete, path: kvPath(key), query: query})
}

// List returns the entries whose keys start with prefix, or an *Error.
func (c *Client) List(ctx context.Context, prefix string) (platformapi.Entries, error) {
	var e platformapi.Entries
	query := url.Values{"list": {"1"}}
	err := c.read(ctx, &call{op: "list", path: kvPath(prefix), query: query, out: &e})
	return e, err
}

// Watch waits up to wait for a change after index under prefix and returns the entries, or an *Error.
func (c *Client) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (platformapi.Entries, error) {
	var e platformapi.Entries
	query := waitQuery(index, wait)
	query.Set("list", "1")
	err := c.read(ctx, &call{op: "watch", path: kvPath(prefix), query: query, wait: wait, out: &e})
	return e, err
}

// Hosts waits up to wait for a change of the list of hosts after index and returns the list, or an *Error.
func (c *Client) Hosts(ctx context.Context, index uint64, wait time.Duration) (platformapi.Hosts, error) {
	var h platformapi.Hosts
	err := c.read(ctx, &call{op: "hosts", path: "/v1/hosts", query: waitQuery(index, wait), wait: wait, out: &h})
	return h, err
}

// GrantLease creates a lease with a time to live, or returns an *Error.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (platformapi.Lease, error) {
	var l platformapi.Lease
	query := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	err := c.write(ctx, &call{op: "grant_lease", method: http.MethodPut, path: "/v1/leases", query: query, out: &l})
	return l, err
}

// RenewLease starts the time to live of a lease again, or returns an *Error.
func (c *Client) RenewLease(ctx context.Context, id string) (platformapi.Lease, error) {
	var l platformapi.Lease
	err := c.write(ctx, &call{
		op: "renew_lease", method: http.MethodPost, path: "/v1/leases/" + id, missing: KindLapsed, out: &l,
	})
	return l, err
}

// RevokeLease deletes a lease with its keys, or returns an *Error.
func (c *Client) RevokeLease(ctx context.Context, id string) error {
	return c.write(ctx, &call{
		op: "revoke_lease", method: http.MethodDelete, path: "/v1/leases/" + id, missing: KindLapsed,
	})
}

func kvPath(key string) string { return "/v1/kv/" + key }

func waitQuery(index uint64, wait time.Duration) url.Values {
	return url.Values{
		"index":   {strconv.FormatUint(index, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}
