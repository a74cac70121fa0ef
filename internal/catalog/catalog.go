package catalog

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
)

// Share is a service that receives a part of a route's calls.
type Share struct {
	Service string
	Weight  float64 // relative to the sum of the weights of all shares of the route
}

// Route defines where calls to one host name and path prefix go and how they are handled.
type Route struct {
	Name        string
	Host        string // host name of the calls
	Prefix      string // path prefix of the calls; matches only if it ends in a slash
	Shares      []Share
	RetryMode   call.RetryMode // how a call may be retried after a backend server may have begun to run it
	Stream      bool           // the response is a stream of events
	MaxAttempts int            // replicas that may run a call at most
	Timeout     time.Duration  // longest time to the end of the response; if it isn't positive, the caller timeout applies
	FirstTarget time.Duration  // target time to the response or to the first event of a stream
	PauseTarget time.Duration  // target for the longest pause between events
	Priority    int            // priority, 0 is the highest; see Workspace.Priority
	Public      bool           // calls need no key
	// AllowedRegions are the regions in which calls may be served; none for any. See Workspace.AllowedRegions.
	AllowedRegions []string
}

// EngineParams holds the parameters of a service's model engines from which their behavior is predicted. Times are at
// the rated speed.
type EngineParams struct {
	Slots          int           // requests that one engine runs at once at most
	MemoryTokens   int           // tokens that the KV cache of one engine holds
	PassSteps      int           // decode steps of a pass while some request decodes
	Step           time.Duration // base time of a decode step
	StepPerRequest time.Duration // added to a decode step for each decoding request
	StepPerContext time.Duration // added to a decode step for 1,000 tokens of context
	PrefillRate    float64       // prefill rate without attention, in prompt tokens a second; see AttentionTime
	AttentionTime  time.Duration // added to prefill for a million pairs of a prompt token and an earlier one
	ChunkTokens    int           // prompt tokens prefilled in one step at most
	StepPerSplit   time.Duration // added to a decode step for each request whose prompt is split over several engines
	EventTokens    int           // output tokens in one event of a stream
}

// Service is a set of replicas, backend servers that run the same program.
type Service struct {
	Name   string
	Engine *EngineParams // nil for a service without model engines
	// ColdStart is how long a replica is cold after its start, and ColdRate the requests a second that a cold one takes from
	// all hosts together. Replicas are cold only if both are above 0.
	ColdStart time.Duration
	ColdRate  float64
}

// HasColdReplicas reports whether replicas of the service are cold after their start.
func (s *Service) HasColdReplicas() bool { return s.ColdStart > 0 && s.ColdRate > 0 }

// Workspace is a customer who shares the system with others.
type Workspace struct {
	Name        string
	Priority    int  // priority of its calls, 0 is the highest; valid if HasPriority
	HasPriority bool // Priority overrides the route's
	// AllowedRegions are the regions in which its calls may be served; none for any. Those of the route apply as well.
	AllowedRegions []string
}

// Limits restricts what a caller may send and how long its connection may take.
type Limits struct {
	MaxHeaderBytes int           // size of a request header at most
	MaxBodyBytes   int64         // size of a request body at most; 0 means the default of package ingress
	HeaderTimeout  time.Duration // longest time to read a request header
	IdleTimeout    time.Duration // longest time that a connection stays open between requests
}

type routeKey struct{ host, prefix string }

// Configuration is one version of the configuration. It is immutable after New.
type Configuration struct {
	Version    int64
	Limits     Limits
	routes     map[routeKey]*Route
	services   map[string]*Service
	workspaces map[string]*Workspace // by key, a credential of the workspace
	needsKeys  bool                  // calls on routes that aren't public must carry a key
}

// New returns a configuration. The argument keys maps each credential to its workspace; needsKeys says that calls on
// routes that aren't public must carry one.
func New(version int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Workspace,
	needsKeys bool,
) *Configuration {
	c := &Configuration{
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

// Route returns the route of host with the longest prefix of path, or nil if there is none. Only prefixes that end in a
// slash match.
func (c *Configuration) Route(host, path string) *Route {
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

// Routes returns all routes, ordered by host and prefix.
func (c *Configuration) Routes() []*Route {
	return slices.SortedFunc(maps.Values(c.routes), func(a, b *Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
}

// Services returns all services, ordered by name.
func (c *Configuration) Services() []*Service {
	return slices.SortedFunc(maps.Values(c.services), func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
}

// Service returns the named service, or nil if there is none.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// Workspace returns the workspace that key belongs to, or nil if there is none.
func (c *Configuration) Workspace(key string) *Workspace { return c.workspaces[key] }

// NeedsKey reports whether calls on r must carry the key of a workspace.
func (c *Configuration) NeedsKey(r *Route) bool { return c.needsKeys && !r.Public }

// PickService returns the service that receives a call on r, chosen at random in proportion to the weights. The
// argument random is a random number, at least 0 and less than 1. PickService returns "" if r has no shares.
func (r *Route) PickService(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Shares {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
