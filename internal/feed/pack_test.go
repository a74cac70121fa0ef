package feed

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// routes returns a document with the given number of routes.
func routes(n int, version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%d.example","prefix":"/p%x/","timeoutMs":%d},`, i*7919, i%40, i*104729, 900+i%7)
	}
	fmt.Fprintf(&b, `],"tenants":[{"name":"t","apiKeys":["k%d"]}]}`, version)
	return []byte(b.String())
}

func TestPatchContainsOnlyTheChange(t *testing.T) {
	base, changed := routes(2000, 7), routes(2000, 8)
	patch := makePatch(base, changed)
	if len(patch) > 200 {
		t.Errorf("a patch of %d bytes for two changed fields in a document of %d bytes", len(patch), len(changed))
	}
	got, err := applyPatch(base, patch)
	if err != nil || !bytes.Equal(got, changed) {
		t.Errorf("got %d bytes, error %v", len(got), err)
	}
	if _, err := applyPatch(base, patch[:len(patch)/2]); err == nil {
		t.Error("a truncated patch was accepted")
	}
}

func BenchmarkPatch(b *testing.B) {
	base, changed := routes(1600, 7), routes(1600, 8)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := applyPatch(base, makePatch(base, changed)); err != nil {
			b.Fatal(err)
		}
	}
}
