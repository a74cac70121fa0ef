package change

import (
	"slices"
	"testing"
)

// Guards against a change that an operator doesn't see, and against changes that are reported only because entries have
// another order.
func TestFind(t *testing.T) {
	for _, test := range []struct {
		name, before, after string
		want                []string
	}{
		{"same", `{"a":[{"name":"x","n":1},{"name":"y"}]}`, `{"a":[{"name":"y"},{"n":1,"name":"x"}]}`, nil},
		{"value", `{"a":[{"name":"x","n":1}]}`, `{"a":[{"name":"x","n":2}]}`, []string{"changed a[x].n: 1 -> 2"}},
		{"entry", `{"a":[{"name":"x"}]}`, `{"a":[{"name":"x"},{"name":"z"}]}`, []string{`added a[z].name: "z"`}},
		{"removed", `{"a":{"b":true}}`, `{"a":{}}`, []string{"added a: {}", "removed a.b: true"}},
		{"without names", `{"a":[1,2]}`, `{"a":[1,3]}`, []string{"changed a[1]: 2 -> 3"}},
		{"same name twice", `{"a":[{"name":"x"},{"name":"x"}]}`, `{"a":[{"name":"x"},{"name":"x","n":1}]}`, []string{"added a[1].n: 1"}},
		{"null", `{"a":null}`, `{}`, []string{"removed a: null"}},
	} {
		changes, err := Find([]byte(test.before), []byte(test.after))
		var got []string
		for _, c := range changes {
			got = append(got, c.String())
		}
		if err != nil || !slices.Equal(got, test.want) {
			t.Errorf("%s: %q, error %v, want %q", test.name, got, err, test.want)
		}
	}
	if _, err := Find([]byte("{"), []byte("{}")); err == nil {
		t.Error("no error for invalid JSON")
	}
}
