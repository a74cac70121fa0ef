package protocol

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestRowEncoding checks that rows are the same after encoding and decoding, and that a partial row takes at most 60
// bytes and is the same after Complete.
func TestRowEncoding(t *testing.T) {
	full := Row{
		Server: "g123", Scheduler: "e45", Revision: 1 << 40, Wait: 1500 * time.Millisecond, Backlog: time.Second,
		Age: 20 * time.Millisecond, FreeBytes: 40 << 30, QueuedTokens: 3 << 10, Running: 40, ForLongPrompts: true,
		Unhealthy:  true,
		LongDemand: 100, ShortDemand: 2000, CapacityBytes: 50<<30 + 1, BytesPerToken: 131072,
		Models: []string{"tender-large"}, PrefillRate: 40000, DecodeRate: 55.5,
	}
	partial := full
	partial.Partial = true
	for _, want := range []Row{full, partial} {
		body, err := cbor.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got Row
		if err := cbor.Unmarshal(body, &got); err != nil {
			t.Fatal(err)
		}
		if got.Partial {
			got.Complete(full)
			want.Partial = false
			if len(body) > 60 {
				t.Errorf("a brief row has %d bytes", len(body))
			}
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got  %+v\nwant %+v", got, want)
		}
	}
}
