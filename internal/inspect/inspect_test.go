package inspect

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/site"
)

// route returns a route to the service s that nothing is wrong with.
func route(prefix string, change func(r *Route)) Route {
	r := Route{Route: &catalog.Route{
		Name: prefix, Host: "a.example", Prefix: prefix, Shares: []catalog.Share{{Service: "s", Weight: 1}}, MaxAttempts: 2,
		Timeout: 10 * time.Second, FirstTarget: time.Second,
	}}
	if change != nil {
		change(&r)
	}
	return r
}

// Guards against faults that aren't found, and against warnings about limits that are just met.
func TestFindings(t *testing.T) {
	settings := &site.Settings{
		Host: "h", MemoryBytes: 2000, GracePeriod: 10 * time.Second, RetryRatio: 0.5, RetrySlack: 1,
		Regions: map[string]string{"a": "north"},
	}
	rate, cold := 1.0, time.Second
	sound := Document{
		MaxBodyBytes: 1000, Routes: []Route{route("/a/", nil), route("/b/", func(r *Route) { r.Regions = []string{"north"} })},
		Services:   []Service{{Name: "s", ColdRate: &rate, ColdStart: &cold}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k"}, Regions: []string{"north"}}},
	}
	negative, none, long := -time.Second, 0.0, 2*time.Hour
	for _, test := range []struct {
		name   string
		change func(d *Document)
		want   []Field // of the findings
	}{
		{"sound", func(*Document) {}, nil},
		{"no workspace", func(d *Document) { d.Workspaces = nil }, nil},
		{"no workspace left", func(d *Document) { d.Workspaces, d.NeedsKeys = nil, true }, []Field{FieldNone}},
		{"empty key", func(d *Document) { d.Workspaces[0].Keys = []string{"k", ""} }, []Field{FieldKeys}},
		{"body limit", func(d *Document) { d.MaxBodyBytes++ }, []Field{FieldBody}},
		{"hidden route", func(d *Document) { d.Routes[0].Prefix = "/b/" }, []Field{FieldNone}},
		{"other host", func(d *Document) { d.Routes[0].Prefix, d.Routes[0].Host = "/b/", "b.example" }, nil},
		{"prefix", func(d *Document) { d.Routes[0].Prefix = "/a" }, []Field{FieldPrefix}},
		{"no service", func(d *Document) { d.Routes[0].Shares = nil }, []Field{FieldShares}},
		{"no weight", func(d *Document) { d.Routes[0].Shares[0].Weight = 0 }, []Field{FieldShares}},
		{"negative weight", func(d *Document) {
			d.Routes[0].Shares = []catalog.Share{{Service: "s", Weight: 2}, {Service: "s", Weight: -1}}
		}, []Field{FieldShares}},
		{"target over timeout", func(d *Document) { d.Routes[0].FirstTarget = 11 * time.Second }, []Field{FieldTarget}},
		{"no timeout", func(d *Document) { d.Routes[0].Timeout = 0 }, nil},
		{"timeout over grace period", func(d *Document) { d.Routes[0].Timeout++ }, []Field{FieldTimeout}},
		{"attempts", func(d *Document) { d.Routes[0].MaxAttempts = 3 }, []Field{FieldAttempts}},
		{"unknown region", func(d *Document) { d.Routes[0].Regions = []string{"north", "x"} }, []Field{FieldRegions}},
		{"no common region", func(d *Document) {
			d.Workspaces[0].Regions = []string{"north"}
			d.Routes[1].Regions = []string{"x"}
		}, []Field{FieldRegions, FieldRegions}},
		{"public route", func(d *Document) {
			d.Routes[1].Regions, d.Routes[1].Public = []string{"x"}, true
		}, []Field{FieldRegions}},
		{"unused service", func(d *Document) { d.Services = append(d.Services, Service{Name: "t"}) }, []Field{FieldNone}},
		{"no cold requests", func(d *Document) { d.Services[0].ColdRate = &none }, []Field{FieldColdRate}},
		{"never cold", func(d *Document) {
			neverCold := time.Duration(0)
			d.Services[0].ColdRate, d.Services[0].ColdStart = &none, &neverCold
		}, nil},
		{"negative cold time", func(d *Document) { d.Services[0].ColdStart = &negative }, []Field{FieldColdStart}},
		{"long cold time", func(d *Document) { d.Services[0].ColdStart = &long }, []Field{FieldColdStart}},
		{"no key", func(d *Document) { d.Workspaces[0].Keys = nil }, []Field{FieldKeys}},
		{"same key", func(d *Document) {
			d.Workspaces = append(d.Workspaces, Workspace{Name: "v", Keys: []string{"k"}})
		}, []Field{FieldKeys}},
	} {
		d := Document{
			MaxBodyBytes: sound.MaxBodyBytes, Services: slices.Clone(sound.Services),
			Workspaces: slices.Clone(sound.Workspaces),
		}
		for _, r := range sound.Routes {
			copied := *r.Route
			copied.Shares = slices.Clone(r.Shares)
			d.Routes = append(d.Routes, Route{Route: &copied, Regions: r.Regions})
		}
		test.change(&d)
		var got []Field
		for _, f := range d.Findings(settings) {
			got = append(got, f.Field)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: findings %+v, want fields %q", test.name, d.Findings(settings), test.want)
		}
	}
}

// Guards against a warning that names another fault of the same field.
func TestMessages(t *testing.T) {
	none, tenth, cold := 0.0, 0.1, 3*time.Second
	for _, test := range []struct {
		want   string
		shares []catalog.Share
		rate   *float64
	}{
		{`names no service`, nil, nil},
		{`service "t" is not in the document`, []catalog.Share{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}, nil},
		{`takes 0 requests a second`, []catalog.Share{{Service: "s", Weight: 1}}, &none},
		{`no request fits into the 3s`, []catalog.Share{{Service: "s", Weight: 1}}, &tenth},
	} {
		d := Document{
			Routes:   []Route{route("/a/", func(r *Route) { r.Shares = test.shares }), route("/b/", nil)},
			Services: []Service{{Name: "s", ColdRate: test.rate, ColdStart: &cold}},
		}
		findings := d.Findings(nil)
		if len(findings) != 1 || !strings.Contains(findings[0].Message, test.want) {
			t.Errorf("findings %+v, want one with %q", findings, test.want)
		}
	}
}
