package protocol

import (
	"bytes"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

// TestWriteRead checks that Read returns the message that Write has written.
func TestWriteRead(t *testing.T) {
	id := AttemptID{Host: "e1", Incarnation: 7, Request: "r", Attempt: 2}
	tests := []Message{
		{GrantRequest: &GrantRequest{ID: id, PromptTokens: 1000, Blocks: []uint64{1, 2}, TimeLeft: time.Second}},
		{Grant: &Grant{ID: id, Address: netip.MustParseAddrPort("127.0.0.1:80")}},
		{Done: &Confirmation{}},
	}
	for _, want := range tests {
		var buf bytes.Buffer
		if err := Write(&buf, &want); err != nil {
			t.Fatal(err)
		}
		got, err := Read(&buf)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// FuzzDecode checks that Decode accepts any input without a panic and that each message it returns can be encoded.
func FuzzDecode(f *testing.F) {
	var buf bytes.Buffer
	if err := Write(&buf, &Message{GrantRelease: &GrantRelease{Server: "g1"}}); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes()[lengthBytes:])
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := Decode(body)
		if err != nil {
			return
		}
		if err := Write(&bytes.Buffer{}, m); err != nil {
			t.Errorf("decoded message cannot be encoded: %v", err)
		}
	})
}
