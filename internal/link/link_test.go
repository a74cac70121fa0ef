package link

import (
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericshunt/turmericshunt/internal/feed"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/ratelimit"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/roster"
)

// sampleMessages returns messages of most kinds.
func sampleMessages() []*Message {
	address := netip.MustParseAddrPort("10.0.0.1:8229")
	r := replica.Replica{ID: "i-1", Service: "s", Address: address, Slots: 16, Born: 17}
	return []*Message{
		{Heartbeat: &Heartbeat{
			Stamp: 5, Echo: 4, Host: roster.Member{Address: address, Weight: 0.25, Age: time.Second},
			State: &feed.State{
				ConfigRevision: 3, ConfigData: []byte("{}"), ConfigVerified: -time.Second, HasReplicas: true,
				Replicas: []replica.Replica{r}, ReplicaDigest: 7,
			},
		}},
		{Request: &planner.Request{
			ID: "r1", Host: "h", Service: "s", PromptTokens: 4960, FirstTarget: time.Second, ExcludedReplicas: []string{"x"},
		}},
		{Result: &Result{Stamp: 5, SinceStamp: time.Second, Result: planner.Result{ID: "r1", Host: "h", Plan: &planner.Plan{
			Replica: r, Helpers: []planner.Helper{{Replica: "i-2", Address: address, ReservedTokens: 5}},
			FirstEventTime: time.Second, RateLimited: true,
		}}}},
		{Result: &Result{Result: planner.Result{
			ID: "r1", Refusal: &planner.Refusal{Cause: planner.CauseNoSlot, RetryAfter: time.Second},
		}}},
		{Limits: []ratelimit.Statement{{Replica: "i-1", Born: 17, Limited: true, PerSecond: 2.5, Age: time.Second}}},
		{Queued: "r1"},
		{Ended: &Progress{ID: "r1", Outcome: planner.OutcomeCompleted}},
		{PlacementSync: &PlacementSync{Complete: true, Placements: []planner.Placement{
			{Request: planner.Request{ID: "r1"}, Replica: "i-1", Decoding: true},
		}}},
	}
}

func TestMessagesArriveAsSent(t *testing.T) {
	a, b := net.Pipe()
	from, to := New(a), New(b)
	received := make(chan *Message, 10)
	go from.Run(func(*Message) {})
	go to.Run(func(m *Message) { received <- m })
	for _, want := range sampleMessages() {
		from.Send(want)
		if m := <-received; !reflect.DeepEqual(m, want) {
			t.Errorf("got %+v, want %+v", m, want)
		}
	}
	from.Close()
	if !from.Closed() {
		t.Error("Closed returns false after Close")
	}
}

func TestLinkWithFullQueueIsClosed(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	l := New(a)
	for range queueLength + 1 {
		l.Send(&Message{Queued: "r"})
	}
	if !l.Closed() {
		t.Error("the link is still open after its queue was exceeded")
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range sampleMessages() {
		payload, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Fuzz(func(_ *testing.T, payload []byte) {
		m, err := Decode(payload)
		if err != nil && m != nil {
			panic("Decode returned both a message and an error")
		}
	})
}

// Results of planners of the earlier version, which don't say when they were sent, are read.
func TestResultOfEarlierVersionIsRead(t *testing.T) {
	type earlierMessage struct {
		Result *planner.Result `cbor:"3,keyasint,omitempty"`
	}
	sent := earlierMessage{Result: &planner.Result{ID: "r1", Plan: &planner.Plan{FirstEventTime: time.Second}}}
	frame, err := cbor.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	var m Message
	if err := cbor.Unmarshal(frame, &m); err != nil || m.Result == nil || !reflect.DeepEqual(m.Result.Result, *sent.Result) {
		t.Errorf("%+v, error %v", m.Result, err)
	}
}
