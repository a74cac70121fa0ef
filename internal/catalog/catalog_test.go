package catalog

import "testing"

func TestRouteMatchesLongestPrefix(t *testing.T) {
	c := New(1, Limits{}, []*Route{
		{Name: "outer", Host: "a.example", Prefix: "/quotes/"},
		{Name: "inner", Host: "a.example", Prefix: "/quotes/past/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, nil, false)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/quotes/1", "outer"},
		{"a.example", "/quotes/past/1", "inner"},
		{"a.example", "/quotes/past", "outer"},
		{"a.example", "/quotes", ""},
		{"a.example", "/", ""},
		{"b.example", "/x/y", "other"},
		{"c.example", "/x/y", ""},
	} {
		got := ""
		if r := c.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := &Route{Shares: []Share{{"old", 90}, {"none", 0}, {"new", 10}}}
	for _, test := range []struct {
		random float64
		want   string
	}{{0, "old"}, {0.899, "old"}, {0.901, "new"}, {0.999, "new"}} {
		if got := r.PickService(test.random); got != test.want {
			t.Errorf("PickService(%v) = %q, want %q", test.random, got, test.want)
		}
	}
	if got := (&Route{}).PickService(0.5); got != "" {
		t.Errorf("PickService on a route without shares = %q, want none", got)
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	c := New(1, Limits{}, nil, nil, map[string]*Workspace{"k": {Name: "w"}}, true)
	if c.NeedsKey(&Route{Public: true}) || !c.NeedsKey(&Route{}) {
		t.Error("calls on a public route need a key, or calls on another route need none")
	}
	if c.Workspace("k").Name != "w" || c.Workspace("x") != nil {
		t.Error("a key doesn't identify its workspace, or an unknown key identifies one")
	}
}
