package claim

import (
	"bytes"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// records returns a record of each form by the name of its golden file.
func records() map[string]*Record {
	owner := Owner{Host: "e1", Incarnation: 7, Request: "a"}
	return map[string]*Record{
		"open":    {BodyDigest: "d", Owner: owner, State: StateOpen},
		"not_run": {BodyDigest: "d", Owner: owner, State: StateNotRun},
		"unknown": {BodyDigest: "d", Owner: owner, State: StateUnknown},
		"completed": {BodyDigest: "d", Owner: owner, State: StateCompleted, Response: &Response{
			Status: http.StatusCreated, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("done"),
		}},
		"completed_omitted": {BodyDigest: "d", Owner: owner, State: StateCompleted, Response: &Response{
			Status: http.StatusOK, Omitted: true,
		}},
	}
}

// TestRecordForm guards against a change of the stored form that hosts of other versions could not read.
func TestRecordForm(t *testing.T) {
	g := goldie.New(t)
	for name, r := range records() {
		g.Assert(t, name, r.Encode())
		got, err := Decode(r.Encode())
		if err != nil || !reflect.DeepEqual(got, r) {
			t.Errorf("%s: got %+v, %v", name, got, err)
		}
	}
}

func TestKey(t *testing.T) {
	if Key("a", "b:c") == Key("a:b", "c") {
		t.Error("different pairs of workspace and idempotency key have the same claim key")
	}
}

func TestRecorded(t *testing.T) {
	tests := []struct {
		name     string
		response Response
		omitted  bool
	}{
		{"small", Response{Status: 200, Body: []byte("b")}, false},
		{"largest body", Response{Status: 200, Body: make([]byte, MaxResponseBytes)}, false},
		{"body too large", Response{Status: 200, Body: make([]byte, MaxResponseBytes+1)}, true},
		{"header too large", Response{Status: 200, Header: http.Header{"A": {strings.Repeat("x", maxHeaderBytes)}}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := tt.response.RecordedForm()
			if got.Omitted != tt.omitted || got.Status != tt.response.Status {
				t.Errorf("got omitted %v, status %d", got.Omitted, got.Status)
			}
			if r := (&Record{State: StateCompleted, Response: got}); len(r.Encode()) > platformapi.MaxValueBytes {
				t.Errorf("record of %d bytes", len(r.Encode()))
			}
		})
	}
}

func TestReplayWithoutAnswer(t *testing.T) {
	actions := new(Machine).replay(&Response{Status: 200, Omitted: true})
	reply := actions[0].(Reply)
	if reply.Err == nil || reply.Err.Outcome != outcome.Completed || !reply.Replayed {
		t.Errorf("got %+v", reply)
	}
}

func FuzzDecode(f *testing.F) {
	for _, r := range records() {
		f.Add(r.Encode())
	}
	f.Add([]byte(`{"state":"completed"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := Decode(value)
		if err != nil {
			return
		}
		again, err := Decode(r.Encode())
		if err != nil || !bytes.Equal(again.Encode(), r.Encode()) {
			t.Errorf("a decoded record changes when it is encoded again: %v", err)
		}
	})
}
