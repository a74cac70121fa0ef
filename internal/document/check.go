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

// Limits of the values in a document.
const (
	MaxPromptTokens    = 10_000_000
	MaxOutputTokens    = 1_000_000
	MaxShare           = 1_000_000
	MaxReplicas        = 10_000 // also the limit for engines reserved for long prompts
	MaxNameBytes       = 128
	MaxDeadline        = 24 * time.Hour
	MaxLoadsPerMinute  = 10_000   // model and adapter loads per minute
	MaxBytesPerToken   = 1_000    // bytes of prompt text per token
	MaxKVBytesPerToken = 64 << 20 // bytes of engine memory per token
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]*$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate returns nil if all values are within their limits and consistent with each other. Otherwise it returns an
// *Error: the error itself if there is only one, else an error without a Path that lists all of them.
func (d *Document) Validate() error {
	c := new(checker)
	c.checkModels(d.Models)
	c.checkWorkspaces(d.Workspaces)
	c.checkServices(d.Services)
	c.checkRules(d.NonIdempotent, d.Services)
	c.checkEngines(d.Engines)
	c.checkScheduling(d.Scheduling)
	if len(c.errs) == 0 {
		return nil
	}
	if len(c.errs) == 1 {
		return c.errs[0]
	}
	texts := make([]string, len(c.errs))
	for i, e := range c.errs {
		texts[i] = e.Path + ": " + e.Err.Error()
	}
	return &Error{Op: "check document", Kind: KindInvalid, Err: errors.New(strings.Join(texts, "; "))}
}

// checker collects the errors of a document.
type checker struct {
	errs []*Error
}

// addError adds an error for the value at path.
func (c *checker) addError(path, format string, args ...any) {
	c.errs = append(c.errs, &Error{
		Op: "check document", Kind: KindInvalid, Path: path, Err: errors.Errorf(format, args...),
	})
}

// checkRange checks that value is from low to high.
func (c *checker) checkRange(path string, value, low, high int64) {
	if value < low || value > high {
		c.addError(path, "must be from %d to %d", low, high)
	}
}

// checkName checks the length and the characters of a name.
func (c *checker) checkName(path, name string) {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		c.addError(path, "%q must be 1 to %d letters, digits or any of ._:/- and start with a letter or digit", name, MaxNameBytes)
	}
}

// checkNames checks each name and that none occurs twice. The paths hold the position of each name in the document.
func (c *checker) checkNames(paths, names []string) {
	seen := make(map[string]string, len(names))
	for i, name := range names {
		c.checkName(paths[i], name)
		if first, ok := seen[name]; ok {
			c.addError(paths[i], "%q is already the value of %s", name, first)
			continue
		}
		seen[name] = paths[i]
	}
}

// checkDeadline checks that value is from 0 to MaxDeadline.
func (c *checker) checkDeadline(path string, value Duration) {
	if value < 0 || time.Duration(value) > MaxDeadline {
		c.addError(path, "must be from 0s to %s", MaxDeadline)
	}
}

func (c *checker) checkModels(models []Model) {
	var paths, names []string
	for i, m := range models {
		path := fmt.Sprintf("models[%d]", i)
		paths, names = append(paths, path+".name"), append(names, m.Name)
		c.checkName(path+".version", m.Version)
		c.checkNames(indexedPaths(path+".adapters", len(m.Adapters)), m.Adapters)
		c.checkRange(path+".max_prompt_tokens", m.MaxPromptTokens, 1, MaxPromptTokens)
		c.checkRange(path+".max_output_tokens", m.MaxOutputTokens, 1, MaxOutputTokens)
		c.checkRange(path+".kv_bytes_per_token", m.KVBytesPerToken, 0, MaxKVBytesPerToken)
		c.checkRange(path+".replicas", int64(m.Replicas), 0, MaxReplicas)
		if !(m.BytesPerToken >= 0 && m.BytesPerToken <= MaxBytesPerToken) {
			c.addError(path+".bytes_per_token", "must be from 0 to %d", MaxBytesPerToken)
		}
	}
	c.checkNames(paths, names)
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	var paths, names []string
	pathByDigest := make(map[string]string)
	for i, w := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		paths, names = append(paths, path+".name"), append(names, w.Name)
		c.checkRange(path+".share", int64(w.Share), 1, MaxShare)
		if w.TokensPerMinute < 0 {
			c.addError(path+".tokens_per_minute", "must not be negative")
		}
		if w.MaxInFlight < 0 {
			c.addError(path+".max_in_flight", "must not be negative")
		}
		for j, digest := range w.KeyDigests {
			c.checkKeyDigest(fmt.Sprintf("%s.key_digests[%d]", path, j), digest, pathByDigest)
		}
	}
	c.checkNames(paths, names)
}

// checkKeyDigest checks the form of a key digest and that no workspace already has the key. It adds the digest to
// pathByDigest, which maps each digest to its position in the document.
func (c *checker) checkKeyDigest(path, digest string, pathByDigest map[string]string) {
	if !digestPattern.MatchString(digest) {
		c.addError(path, "must be a SHA-256 in 64 lower-case hexadecimal digits")
		return
	}
	if first, ok := pathByDigest[digest]; ok {
		c.addError(path, "the key is already given in %s", first)
		return
	}
	pathByDigest[digest] = path
}

func (c *checker) checkServices(services []Service) {
	var paths, names []string
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		paths, names = append(paths, path+".name"), append(names, s.Name)
		c.checkDeadline(path+".deadline", s.Deadline)
	}
	c.checkNames(paths, names)
}

// checkRules checks the rules for non-idempotent calls, and that each names one of the services.
func (c *checker) checkRules(rules []NonIdempotentRule, services []Service) {
	methods := []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodGet}
	seen := make(map[NonIdempotentRule]int, len(rules))
	for i, r := range rules {
		path := fmt.Sprintf("non_idempotent[%d]", i)
		if !slices.ContainsFunc(services, func(s Service) bool { return s.Name == r.Service }) {
			c.addError(path+".service", "no service is named %q", r.Service)
		}
		if !slices.Contains(methods, r.Method) {
			c.addError(path+".method", "must be one of %s", strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(r.PathPrefix, "/") {
			c.addError(path+".path_prefix", "must start with /")
		}
		if first, ok := seen[r]; ok {
			c.addError(path, "is the same rule as non_idempotent[%d]", first)
			continue
		}
		seen[r] = i
	}
}

func (c *checker) checkEngines(e Engines) {
	c.checkNames(indexedPaths("engines.unfenced", len(e.Unfenced)), e.Unfenced)
	c.checkRange("engines.long_engines", int64(e.LongPromptEngines), 0, MaxReplicas)
	if !(e.LoadsPerMinute >= 0 && e.LoadsPerMinute <= MaxLoadsPerMinute) {
		c.addError("engines.loads_per_minute", "must be from 0 to %d", MaxLoadsPerMinute)
	}
}

func (c *checker) checkScheduling(s Scheduling) {
	if s.Objective != "" && s.Objective != ObjectiveFirstToken && s.Objective != ObjectiveShortSlowdown {
		c.addError("scheduling.weight", "must be %s or %s", ObjectiveFirstToken, ObjectiveShortSlowdown)
	}
	c.checkDeadline("scheduling.interactive_deadline", s.InteractiveDeadline)
	c.checkDeadline("scheduling.standard_deadline", s.StandardDeadline)
	c.checkDeadline("scheduling.batch_deadline", s.BatchDeadline)
}

// indexedPaths returns the paths of the n elements of the array at path, such as "engines.unfenced[0]".
func indexedPaths(path string, n int) []string {
	paths := make([]string, n)
	for i := range paths {
		paths[i] = fmt.Sprintf("%s[%d]", path, i)
	}
	return paths
}
