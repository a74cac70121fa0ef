package change

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Change is a field that differs. Entries of lists are named by their field "name" in Path if all of them have different
// ones, and otherwise by their index.
type Change struct {
	Path   string          `json:"path"`
	Before json.RawMessage `json:"before,omitempty"` // nil if the field is new
	After  json.RawMessage `json:"after,omitempty"`  // nil if the field is gone
}

// Find returns the differences between two JSON documents, ordered by path. It returns an error that says which of the two
// isn't valid JSON if one isn't.
func Find(before, after []byte) ([]Change, error) {
	var a, b any
	if err := json.Unmarshal(before, &a); err != nil {
		return nil, errors.Wrap(err, "document before")
	}
	if err := json.Unmarshal(after, &b); err != nil {
		return nil, errors.Wrap(err, "document after")
	}
	flatBefore, flatAfter := make(map[string]any), make(map[string]any)
	flatten("", a, flatBefore)
	flatten("", b, flatAfter)
	paths := maps.Clone(flatBefore)
	maps.Copy(paths, flatAfter)
	var changes []Change
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		c := Change{Path: path, Before: encode(flatBefore, path), After: encode(flatAfter, path)}
		if string(c.Before) != string(c.After) {
			changes = append(changes, c)
		}
	}
	return changes, nil
}

// String returns the change in one line.
func (c Change) String() string {
	switch {
	case c.Before == nil:
		return fmt.Sprintf("added %s: %s", c.Path, c.After)
	case c.After == nil:
		return fmt.Sprintf("removed %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("changed %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// encode returns the JSON of a field, or nil if there is none.
func encode(fields map[string]any, path string) json.RawMessage {
	value, ok := fields[path]
	if !ok {
		return nil
	}
	// No error is possible: the value comes from JSON.
	data, _ := json.Marshal(value)
	return data
}

// flatten adds the fields of value, which stands at path, to fields. Empty objects and lists are values of their own.
func flatten(path string, value any, fields map[string]any) {
	switch value := value.(type) {
	case map[string]any:
		for name, v := range value {
			if path != "" {
				name = path + "." + name
			}
			flatten(name, v, fields)
		}
		if len(value) == 0 && path != "" {
			fields[path] = value
		}
	case []any:
		names := entryNames(value)
		for i, v := range value {
			flatten(fmt.Sprintf("%s[%s]", path, names[i]), v, fields)
		}
		if len(value) == 0 {
			fields[path] = value
		}
	default:
		fields[path] = value
	}
}

// entryNames returns the names of the entries of a list, or their indexes if any has no name or that of another one.
func entryNames(list []any) []string {
	names, indexes := make([]string, len(list)), make([]string, len(list))
	seen := make(map[string]bool)
	for i, entry := range list {
		indexes[i] = fmt.Sprint(i)
		object, _ := entry.(map[string]any)
		name, _ := object["name"].(string)
		if name == "" || seen[name] {
			names = nil
		}
		seen[name] = true
		if names != nil {
			names[i] = name
		}
	}
	if names == nil {
		return indexes
	}
	return names
}
