package document

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Bounds of the values in a document.
const (
	MaxPromptTokens  = 10_000_000
	MaxOutputTokens  = 1_000_000
	MaxShare         = 1_000_000
	MaxReplicas      = 10_000
	MaxNameBytes     = 128
	MaxDeadline      = 24 * time.Hour
	MaxLoadsPerMin   = 10_000
	MaxBytesPerToken = 1_000
	MaxKVBytes       = 64 << 20
)

var (
	nameForm   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	digestForm = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check reports all values that are out of range or contradict one another in one *Error, or returns nil.
func (d *Document) Check() error {
	c := new(checker)
	c.models(d.Models)
	c.workspaces(d.Workspaces)
	c.services(d.Services)
	c.rules(d.NonIdempotent, d.Services)
	c.engines(d.Engines)
	c.scheduling(d.Scheduling)
	if len(c.faults) == 0 {
		return nil
	}
	if len(c.faults) == 1 {
		return c.faults[0]
	}
	texts := make([]string, len(c.faults))
	for i, fault := range c.faults {
		texts[i] = fault.Path + ": " + fault.Err.Error()
	}
	return &Error{Op: "check document", Kind: KindInvalid, Err: errors.New(strings.Join(texts, "; "))}
}

// Collects the faults of a document.
type checker struct {
	faults []*Error
}

func (c *checker) fault(path, format string, args ...any) {
	c.faults = append(c.faults, &Error{
		Op: "check document", Kind: KindInvalid, Path: path, Err: errors.Errorf(format, args...),
	})
}

func (c *checker) within(path string, value, low, high int64) {
	if value < low || value > high {
		c.fault(path, "must be from %d to %d", low, high)
	}
}

func (c *checker) name(path, name string) {
	if len(name) > MaxNameBytes || !nameForm.MatchString(name) {
		c.fault(path, "%q must be 1 to %d letters, digits or any of ._:/- and start with a letter or digit", name, MaxNameBytes)
	}
}

// Checks the form of names and that none occurs twice.
func (c *checker) names(paths, names []string) {
	seen := make(map[string]string, len(names))
	for i, name := range names {
		c.name(paths[i], name)
		if first, ok := seen[name]; ok {
			c.fault(paths[i], "%q is already the value of %s", name, first)
			continue
		}
		seen[name] = paths[i]
	}
}

func (c *checker) duration(path string, value Duration) {
	if value < 0 || time.Duration(value) > MaxDeadline {
		c.fault(path, "must be from 0s to %s", MaxDeadline)
	}
}

func (c *checker) models(models []Model) {
	var paths, names []string
	for i, m := range models {
		path := fmt.Sprintf("models[%d]", i)
		paths, names = append(paths, path+".name"), append(names, m.Name)
		c.name(path+".version", m.Version)
		c.names(indexed(path+".adapters", len(m.Adapters)), m.Adapters)
		c.within(path+".max_prompt_tokens", m.MaxPromptTokens, 1, MaxPromptTokens)
		c.within(path+".max_output_tokens", m.MaxOutputTokens, 1, MaxOutputTokens)
		c.within(path+".kv_bytes_per_token", m.KVBytesPerToken, 0, MaxKVBytes)
		c.within(path+".replicas", int64(m.Replicas), 0, MaxReplicas)
		if !(m.BytesPerToken >= 0 && m.BytesPerToken <= MaxBytesPerToken) {
			c.fault(path+".bytes_per_token", "must be from 0 to %d", MaxBytesPerToken)
		}
	}
	c.names(paths, names)
}

func (c *checker) workspaces(workspaces []Workspace) {
	var paths, names []string
	owners := make(map[string]string)
	for i, w := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		paths, names = append(paths, path+".name"), append(names, w.Name)
		c.within(path+".share", int64(w.Share), 1, MaxShare)
		if w.TokensPerMinute < 0 {
			c.fault(path+".tokens_per_minute", "must not be negative")
		}
		if w.MaxInFlight < 0 {
			c.fault(path+".max_in_flight", "must not be negative")
		}
		for j, digest := range w.KeyDigests {
			c.keyDigest(fmt.Sprintf("%s.key_digests[%d]", path, j), digest, owners)
		}
	}
	c.names(paths, names)
}

func (c *checker) keyDigest(path, digest string, owners map[string]string) {
	if !digestForm.MatchString(digest) {
		c.fault(path, "must be a SHA-256 in 64 lower-case hexadecimal digits")
		return
	}
	if first, ok := owners[digest]; ok {
		c.fault(path, "the key is already given in %s", first)
		return
	}
	owners[digest] = path
}

func (c *checker) services(services []Service) {
	var paths, names []string
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		paths, names = append(paths, path+".name"), append(names, s.Name)
		c.duration(path+".deadline", s.Deadline)
	}
	c.names(paths, names)
}

func (c *checker) rules(rules []Rule, services []Service) {
	methods := []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodGet}
	seen := make(map[Rule]int, len(rules))
	for i, r := range rules {
		path := fmt.Sprintf("non_idempotent[%d]", i)
		if !slices.ContainsFunc(services, func(s Service) bool { return s.Name == r.Service }) {
			c.fault(path+".service", "no service is named %q", r.Service)
		}
		if !slices.Contains(methods, r.Method) {
			c.fault(path+".method", "must be one of %s", strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			c.fault(path+".path_prefix", "must start with /")
		}
		if first, ok := seen[r]; ok {
			c.fault(path, "is the same rule as non_idempotent[%d]", first)
			continue
		}
		seen[r] = i
	}
}

func (c *checker) engines(e Engines) {
	c.names(indexed("engines.unfenced", len(e.Unfenced)), e.Unfenced)
	c.within("engines.long_engines", int64(e.LongEngines), 0, MaxReplicas)
	if !(e.LoadsPerMin >= 0 && e.LoadsPerMin <= MaxLoadsPerMin) {
		c.fault("engines.loads_per_minute", "must be from 0 to %d", MaxLoadsPerMin)
	}
}

func (c *checker) scheduling(s Scheduling) {
	if s.Weight != "" && s.Weight != WeightFirstToken && s.Weight != WeightShortSlowdown {
		c.fault("scheduling.weight", "must be %s or %s", WeightFirstToken, WeightShortSlowdown)
	}
	c.duration("scheduling.interactive_deadline", s.InteractiveDeadline)
	c.duration("scheduling.standard_deadline", s.StandardDeadline)
	c.duration("scheduling.batch_deadline", s.BatchDeadline)
}

func indexed(path string, n int) []string {
	paths := make([]string, n)
	for i := range paths {
		paths[i] = fmt.Sprintf("%s[%d]", path, i)
	}
	return paths
}
