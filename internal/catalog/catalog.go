package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
)

// Share is a service that takes a part of a route's calls.
type Share struct {
	Service string
	Weight  float64
}

// Route says where the calls under one prefix of a host name go.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Shares   []Share
	Repeat   call.Repeat
	Stream   bool
	Attempts int
	Limit    time.Duration
	FirstAim time.Duration
	GapAim   time.Duration
	Rank     int
	Public   bool // needs no key
}

// Engine holds the figures of a service's model engines that predictions are made from.
type Engine struct {
	Slots        int
	MemoryTokens int
	PassSteps    int           // steps of a pass in which some request writes
	Step         time.Duration // of one token step
	StepWriter   time.Duration // added to a step for each request that writes
	StepContext  time.Duration // added to a step for 1,000 tokens of context
	ReadRate     float64       // prompt tokens a second
	PairsTime    time.Duration // for a million pairs of a token and an earlier one
	ChunkTokens  int           // prompt tokens read in one step at most
	StepHop      time.Duration // added to a step of a request whose prompt several engines hold
	EventTokens  int           // output tokens in one event of a stream
}

// Service is a set of replicas that run the same program.
type Service struct {
	Name   string
	Engine *Engine // nil for a plain service
}

// Workspace is a customer with a share of the system.
type Workspace struct {
	Name    string
	Rank    int
	HasRank bool // Rank goes before that of a route
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

type routeKey struct{ host, prefix string }

// Catalog is one version of the configuration; it doesn't change after New.
type Catalog struct {
	Version    int64
	Limits     Limits
	routes     map[routeKey]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace // by key
	needsKeys  bool
}

// New makes a catalog; keys are the credentials of each workspace, and needsKeys says that routes that aren't public
// ask for one.
func New(version int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Workspace,
	needsKeys bool,
) *Catalog {
	c := &Catalog{
		Version:    version,
		Limits:     limits,
		routes:     make(map[routeKey]*Route, len(routes)),
		services:   make(map[string]*Service, len(services)),
		workspaces: keys,
		needsKeys:  needsKeys,
	}
	for _, r := range routes {
		c.routes[routeKey{r.Host, r.Prefix}] = r
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Route returns the route of host whose prefix is the longest that begins path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := c.routes[routeKey{host, path[:end]}]; r != nil {
			return r
		}
	}
	return nil
}

// Routes returns all routes in the order of their hosts and prefixes.
func (c *Catalog) Routes() []*Route {
	return slices.SortedFunc(maps.Values(c.routes), func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
}

// Service returns the named service, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Workspace returns the workspace that holds key, or nil.
func (c *Catalog) Workspace(key string) *Workspace { return c.workspaces[key] }

// NeedsKey tells whether calls on r must carry the key of a workspace.
func (c *Catalog) NeedsKey(r *Route) bool { return c.needsKeys && !r.Public }

// Pick returns the service that takes a call on r, where at is a random number from 0 up to 1.
func (r *Route) Pick(at float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := at * total
	for _, s := range r.Shares {
		left -= s.Weight
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
