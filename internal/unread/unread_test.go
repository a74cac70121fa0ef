package unread_test

import (
	"slices"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/unread"
)

func TestFields(t *testing.T) {
	whole := `{"version": 3, "color": "red", "routes": [{"name": "a", "shade": 1}, {"name": "b", "deep": {"x": 1}}], "limits": {"size": 1, "other": 2}}`
	known := `{"version": 3, "routes": [{"name": "a", "kind": ""}, {"name": "b", "deep": {}}], "limits": {"size": 1}, "more": []}`
	got, err := unread.Find([]byte(whole), []byte(known))
	if want := []string{"color", "limits.other", "routes[].deep.x", "routes[].shade"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v, %v, want %v", got, err, want)
	}
	for _, pair := range [][2]string{{"{", "{}"}, {"{}", "{"}} {
		if _, err := unread.Find([]byte(pair[0]), []byte(pair[1])); err == nil {
			t.Errorf("no error for %v", pair)
		}
	}
}

func FuzzFields(f *testing.F) {
	f.Add([]byte(`{"a": [1, {"b": 2}]}`), []byte(`{"a": [1, {}]}`))
	f.Fuzz(func(t *testing.T, whole, known []byte) {
		if fields, err := unread.Find(whole, whole); err == nil && len(fields) > 0 {
			t.Errorf("fields that a document lacks compared with itself: %v", fields)
		}
		_, _ = unread.Find(whole, known)
	})
}
