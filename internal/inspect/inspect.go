package inspect

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/site"
)

const (
	// bodyShare is the share of a host's memory that the bodies which it holds may take together; see package gateway.
	bodyShare = 0.5
	// maxColdStart is the longest time for which a replica can be cold.
	maxColdStart = time.Hour
)

// Document is a configuration document whose entries are in the order of the document.
type Document struct {
	MaxBodyBytes int64 // size of a request body at most; 0 if the document doesn't say
	NeedsKeys    bool  // calls on routes that aren't public need the key of a workspace
	Routes       []Route
	Services     []Service
	Workspaces   []Workspace
}

// Route is a route of the document.
type Route struct {
	*catalog.Route
	Regions []string // regions in which its calls may be served; empty for all
}

// Service is a service of the document.
type Service struct {
	Name      string
	ColdStart *time.Duration // for how long a replica is cold; nil if the document doesn't say
	ColdRate  *float64       // requests a second that a cold replica takes; nil if the document doesn't say
}

// Workspace is a workspace of the document.
type Workspace struct {
	Name    string
	Keys    []string
	Regions []string // regions in which its calls may be served; empty for all
}

// Entry is a kind of entry of the document.
type Entry string

// Kinds of entries.
const (
	EntryLimits    Entry = "limits"
	EntryRoute     Entry = "route"
	EntryService   Entry = "service"
	EntryWorkspace Entry = "workspace"
	// EntryWorkspaces is the list of workspaces.
	EntryWorkspaces Entry = "workspaces"
)

// Field is a field of an entry that a finding is about.
type Field string

// Fields of entries.
const (
	FieldNone      Field = "" // the entry as a whole
	FieldAttempts  Field = "attempts"
	FieldBody      Field = "body"
	FieldColdRate  Field = "cold_rate"
	FieldColdStart Field = "cold_start"
	FieldKeys      Field = "keys"
	FieldPrefix    Field = "prefix"
	FieldRegions   Field = "regions"
	FieldShares    Field = "shares"
	FieldTarget    Field = "target"
	FieldTimeout   Field = "timeout"
)

// Finding is something in the document that can't have been meant.
type Finding struct {
	Entry   Entry
	Index   int // of the entry in its list; 0 for EntryLimits and EntryWorkspaces
	Field   Field
	Message string
}

// inspection collects the findings of one document.
type inspection struct {
	*Document
	settings *site.Settings // of a host; nil if they aren't known
	findings []Finding
}

// Findings returns what can't have been meant, in the order of the document's lists. The settings of a host show limits that
// contradict it; without them, if they are nil, these aren't looked for.
func (d *Document) Findings(settings *site.Settings) []Finding {
	i := &inspection{Document: d, settings: settings}
	i.checkBody()
	for index := range d.Routes {
		i.checkMatch(index)
		i.checkShares(index)
		i.checkTimes(index)
		i.checkAttempts(index)
		i.checkRegions(EntryRoute, index, d.Routes[index].Regions)
	}
	for index := range d.Services {
		i.checkUse(index)
		i.checkCold(index)
	}
	if d.NeedsKeys && len(d.Workspaces) == 0 {
		i.add(EntryWorkspaces, 0, FieldNone, "there is no workspace: calls on routes that aren't public are refused")
	}
	for index := range d.Workspaces {
		i.checkKeys(index)
		i.checkRegions(EntryWorkspace, index, d.Workspaces[index].Regions)
	}
	return i.findings
}

func (i *inspection) add(entry Entry, index int, field Field, format string, args ...any) {
	i.findings = append(i.findings, Finding{Entry: entry, Index: index, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (i *inspection) checkBody() {
	if i.settings == nil || i.settings.MemoryBytes == 0 {
		return
	}
	if limit := int64(bodyShare * float64(i.settings.MemoryBytes)); i.MaxBodyBytes > limit {
		i.add(EntryLimits, 0, FieldBody, "bodies of %d bytes are allowed, but host %s holds %d bytes at most", i.MaxBodyBytes,
			i.settings.Host, limit)
	}
}

// checkMatch finds a route that no call matches. Of several with the same host and prefix, the last one is active.
func (i *inspection) checkMatch(index int) {
	r := i.Routes[index]
	if !strings.HasSuffix(r.Prefix, "/") {
		i.add(EntryRoute, index, FieldPrefix, "route %q never matches: its prefix %q doesn't end in a slash", r.Name, r.Prefix)
		return
	}
	for other := index + 1; other < len(i.Routes); other++ {
		if o := i.Routes[other]; o.Host == r.Host && o.Prefix == r.Prefix {
			i.add(EntryRoute, index, FieldNone, "route %q never matches: route %q has the same host and prefix", r.Name, o.Name)
			return
		}
	}
}

func (i *inspection) checkShares(index int) {
	r := i.Routes[index]
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
		known := slices.ContainsFunc(i.Services, func(service Service) bool { return service.Name == s.Service })
		switch {
		case !known:
			i.add(EntryRoute, index, FieldShares, "route %q: service %q is not in the document", r.Name, s.Service)
		case s.Weight < 0:
			i.add(EntryRoute, index, FieldShares, "route %q: service %q has weight %g", r.Name, s.Service, s.Weight)
		}
	}
	switch {
	case len(r.Shares) == 0:
		i.add(EntryRoute, index, FieldShares, "route %q names no service", r.Name)
	case total <= 0:
		i.add(EntryRoute, index, FieldShares, "route %q: the weights of its services are not above 0", r.Name)
	}
}

func (i *inspection) checkTimes(index int) {
	r := i.Routes[index]
	if r.Timeout > 0 && r.Timeout < r.FirstTarget {
		i.add(EntryRoute, index, FieldTarget, "route %q: the first event is expected within %v, but requests end after %v",
			r.Name, r.FirstTarget, r.Timeout)
	}
	if i.settings != nil && i.settings.GracePeriod > 0 && r.Timeout > i.settings.GracePeriod {
		i.add(EntryRoute, index, FieldTimeout, "route %q: requests may take %v, but host %s stops within %v", r.Name, r.Timeout,
			i.settings.Host, i.settings.GracePeriod)
	}
}

// checkAttempts finds a route that allows a single request more retries than the budget grants at all.
func (i *inspection) checkAttempts(index int) {
	r := i.Routes[index]
	if i.settings == nil {
		return
	}
	if granted := i.settings.RetrySlack + i.settings.RetryRatio; float64(r.MaxAttempts-1) > granted {
		i.add(EntryRoute, index, FieldAttempts, "route %q: %d attempts are allowed, but the budget grants %g retries", r.Name,
			r.MaxAttempts, granted)
	}
}

// checkRegions finds regions that no failure domain has, if the regions of failure domains are known, and routes and
// workspaces that have no region in common.
func (i *inspection) checkRegions(entry Entry, index int, regions []string) {
	if i.settings != nil && len(i.settings.Regions) > 0 {
		for _, region := range regions {
			if !i.hasRegion(region) {
				i.add(entry, index, FieldRegions, "no failure domain is in region %q", region)
			}
		}
	}
	if entry != EntryWorkspace || len(regions) == 0 {
		return
	}
	for _, r := range i.Routes {
		inCommon := slices.ContainsFunc(r.Regions, func(region string) bool { return slices.Contains(regions, region) })
		if len(r.Regions) > 0 && !inCommon && !r.Public {
			i.add(entry, index, FieldRegions, "workspace %q and route %q have no region in common: its calls there are refused",
				i.Workspaces[index].Name, r.Name)
		}
	}
}

// hasRegion reports whether a failure domain is in a region.
func (i *inspection) hasRegion(region string) bool {
	for _, known := range i.settings.Regions {
		if known == region {
			return true
		}
	}
	return false
}

func (i *inspection) checkUse(index int) {
	name := i.Services[index].Name
	for _, r := range i.Routes {
		if slices.ContainsFunc(r.Shares, func(s catalog.Share) bool { return s.Service == name }) {
			return
		}
	}
	i.add(EntryService, index, FieldNone, "service %q: no route names it", name)
}

// checkCold finds limits under which a cold replica can't get the requests that it needs.
func (i *inspection) checkCold(index int) {
	s := i.Services[index]
	if s.ColdStart != nil && (*s.ColdStart < 0 || *s.ColdStart > maxColdStart) {
		i.add(EntryService, index, FieldColdStart, "service %q: replicas are cold for %v, not from 0 to %v", s.Name, *s.ColdStart,
			maxColdStart)
		return
	}
	neverCold := s.ColdStart != nil && *s.ColdStart == 0
	switch {
	case s.ColdRate == nil, neverCold && *s.ColdRate == 0:
	case *s.ColdRate <= 0:
		i.add(EntryService, index, FieldColdRate, "service %q: a cold replica takes %g requests a second", s.Name, *s.ColdRate)
	case s.ColdStart != nil && *s.ColdStart > 0 && *s.ColdRate*s.ColdStart.Seconds() < 1:
		i.add(EntryService, index, FieldColdRate, "service %q: at %g a second, no request fits into the %v for which a replica is cold",
			s.Name, *s.ColdRate, *s.ColdStart)
	}
}

// checkKeys finds a workspace without a key, and keys that another one has too: the last one gets the calls.
func (i *inspection) checkKeys(index int) {
	w := i.Workspaces[index]
	if len(w.Keys) == 0 {
		i.add(EntryWorkspace, index, FieldKeys, "workspace %q has no key", w.Name)
	}
	if slices.Contains(w.Keys, "") {
		i.add(EntryWorkspace, index, FieldKeys, "workspace %q has an empty key, which is ignored", w.Name)
	}
	for other := index + 1; other < len(i.Workspaces); other++ {
		for _, key := range w.Keys {
			if slices.Contains(i.Workspaces[other].Keys, key) {
				i.add(EntryWorkspace, index, FieldKeys, "workspace %q has a key that workspace %q has too", w.Name,
					i.Workspaces[other].Name)
			}
		}
	}
}
