package replica

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/passes"
)

const testDowntime = 300 * time.Millisecond

// startEngine starts a model replica that crashes on the part "bad" until the test ends.
func startEngine(t *testing.T) *Replica {
	t.Helper()
	p := &Replica{
		ID: "i-1", Service: "llm", Slots: 4, Log: &RequestLog{}, Downtime: testDowntime,
		Clock:       &Clock{Fleet: &passes.Fleet{Params: passes.FastDecodeEngine()}},
		EngineNames: func() map[netip.AddrPort]string { return nil },
		CrashesOn:   func(part string) bool { return part == "bad" },
	}
	address, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	p.Address = address
	t.Cleanup(p.Close)
	return p
}

// post sends the replica a request with the given prompt parts. The ID must differ from that of any earlier request, which
// may still be ending.
func post(t *testing.T, p *Replica, id, parts string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+p.Address.String()+"/quotes/"+id, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Request-Id", id)
	r.Header.Set("Token-Usage", "200,100")
	r.Header.Set("Prompt-Prefix", parts)
	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
}

func TestReplicaCrashesOnPartOfPrompt(t *testing.T) {
	p := startEngine(t)
	entry := string(p.Entry("ready"))
	for i, parts := range []string{"", "a:1,b:2", "bad:3", "a:1,bad:3"} {
		resp, err := post(t, p, fmt.Sprint("sound", i), parts)
		if err != nil {
			t.Fatalf("prompt %q: %v", parts, err)
		}
		_ = resp.Body.Close()
	}
	if resp, err := post(t, p, "crashing", "a:1,bad:3,b:2"); err == nil {
		_ = resp.Body.Close()
		t.Fatal("the replica responded to a request with a part on which it crashes")
	}
	if _, err := post(t, p, "refused", "a:1,b:2"); err == nil || !strings.Contains(err.Error(), "connection refused") {
		t.Errorf("after the crash: %v, want a refused connection", err)
	}
	if n := len(p.Log.Crashes("bad")); n != 1 {
		t.Errorf("%d crashes are logged, want 1", n)
	}
	time.Sleep(2 * testDowntime)
	resp, err := post(t, p, "again", "a:1,b:2")
	if err != nil {
		t.Fatalf("after the downtime: %v", err)
	}
	_ = resp.Body.Close()
	if string(p.Entry("ready")) == entry {
		t.Error("the replica is back as the same incarnation")
	}
}

// A crash ends the other responses of the replica too.
func TestCrashBreaksOffOtherResponses(t *testing.T) {
	p := startEngine(t)
	p.Fault = func(r *http.Request) Fault {
		if r.Header.Get("Request-Id") == "running" {
			return FaultPause
		}
		return FaultNone
	}
	resp, err := post(t, p, "running", "a:1,b:2")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if other, err := post(t, p, "crashing", "bad:3,b:2"); err == nil {
		_ = other.Body.Close()
		t.Fatal("the replica responded to a request with a part on which it crashes")
	}
	began := time.Now()
	buffer := make([]byte, 4096)
	for err == nil {
		_, err = resp.Body.Read(buffer)
	}
	if !strings.Contains(err.Error(), "reset") || time.Since(began) > FaultPauseDuration/2 {
		t.Errorf("the running response ended with %v after %v, want a reset at once", err, time.Since(began))
	}
}
