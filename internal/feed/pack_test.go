package feed

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/replica"
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

func TestPackedReplicas(t *testing.T) {
	var list []replica.Replica
	for i := range 1000 {
		list = append(list, replica.Replica{
			ID: fmt.Sprintf("i-%010x", uint64(i)*0x9e3779b97f4a7c15>>24), Service: "quote-llm", Slots: 10, Born: 1700000000000 + int64(i),
			FailureDomain: "recife-a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
			Leaving: i%7 == 0,
		})
	}
	packed := packReplicas(list)
	if len(packed) > 40*len(list) {
		t.Errorf("%d bytes for %d replicas, want at most 40 for each", len(packed), len(list))
	}
	if got, err := unpackReplicas(packed); err != nil || !slices.Equal(got, list) {
		t.Errorf("got %d replicas, error %v", len(got), err)
	}
	if _, err := unpackReplicas(packed[:len(packed)/2]); err == nil {
		t.Error("a truncated list was accepted")
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

// Whatever a peer sends is decoded or refused, and is never longer than a document may be.
func FuzzDecodeFromPeer(f *testing.F) {
	base, changed := routes(3, 7), routes(3, 8)
	f.Add(base, makePatch(base, changed))
	f.Add(base, compress(changed))
	f.Add([]byte{}, packReplicas([]replica.Replica{{ID: "a"}}))
	f.Fuzz(func(t *testing.T, base, sent []byte) {
		if data, err := applyPatch(base, sent); err == nil && len(data) > maxDocumentBytes {
			t.Errorf("a patch of %d bytes yields %d", len(sent), len(data))
		}
		if data, err := decompress(sent); err == nil && len(data) > maxDocumentBytes {
			t.Errorf("%d bytes yield %d", len(sent), len(data))
		}
		_, _ = unpackReplicas(sent)
	})
}

// What a host sends is what its peer gets, whatever the documents are.
func FuzzPatch(f *testing.F) {
	f.Add(routes(3, 7), routes(3, 8))
	f.Add([]byte("a"), []byte{})
	f.Fuzz(func(t *testing.T, base, data []byte) {
		if len(base) == 0 {
			return // no host has an empty document
		}
		got, err := applyPatch(base, makePatch(base, data))
		if err != nil || !bytes.Equal(got, data) {
			t.Errorf("%q becomes %q: %v", data, got, err)
		}
	})
}
