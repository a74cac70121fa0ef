package unread

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Find returns the sorted paths of the fields that the JSON document whole has and known, the part of it that the
// program reads, lacks. List items have the path element [] without an index. It returns an error that says which of
// the two isn't valid JSON if one isn't.
func Find(whole, known []byte) ([]string, error) {
	var a, b any
	if err := json.Unmarshal(whole, &a); err != nil {
		return nil, errors.Wrap(err, "whole document")
	}
	if err := json.Unmarshal(known, &b); err != nil {
		return nil, errors.Wrap(err, "known part")
	}
	found := make(map[string]bool)
	compare("", a, b, found)
	return slices.Sorted(maps.Keys(found)), nil
}

// compare adds the paths of the fields of a, a value at path, that b lacks to found.
func compare(path string, a, b any, found map[string]bool) {
	switch a := a.(type) {
	case map[string]any:
		b, _ := b.(map[string]any)
		compareFields(path, a, b, found)
	case []any:
		b, _ := b.([]any)
		for i := range min(len(a), len(b)) {
			compare(path+"[]", a[i], b[i], found)
		}
	}
}

// compareFields does for objects what compare does for all values.
func compareFields(path string, a, b map[string]any, found map[string]bool) {
	if path != "" {
		path += "."
	}
	for name, value := range a {
		known, ok := b[name]
		if !ok {
			found[path+name] = true
			continue
		}
		compare(path+name, value, known, found)
	}
}
