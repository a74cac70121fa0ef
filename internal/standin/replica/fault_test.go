package replica

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const testSilence = 200 * time.Millisecond

// get returns the response of a replica that meets fault: its header, its body and the error of reading the body.
func get(t *testing.T, p *Replica, fault Fault) (resp *http.Response, body string, err error) {
	t.Helper()
	p.Fault = func(*http.Request) Fault { return fault }
	p.Silence = testSilence
	resp, err = post(t, p, "x", "a:1,b:2")
	if err != nil {
		t.Fatalf("fault %d: %v", fault, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// newPlainReplica returns a replica of a plain service, which serves until the test ends.
func newPlainReplica(t *testing.T) *Replica {
	t.Helper()
	p := &Replica{ID: "i-1", Service: "desk", Log: &RequestLog{}}
	address, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	p.Address = address
	t.Cleanup(p.Close)
	return p
}

func stream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(EventText(id, n))
	}
	return b.String()
}

func TestReplicaFallsSilentAndGoesOn(t *testing.T) {
	for _, fault := range []Fault{FaultSilentStart, FaultSilentMiddle} {
		for want, p := range map[string]*Replica{
			stream("x", EventCount("x")):       startEngine(t),
			PlainResponse("/quotes/x", "body"): newPlainReplica(t),
		} {
			began := time.Now()
			_, body, err := get(t, p, fault)
			if took := time.Since(began); err != nil || body != want || took < testSilence {
				t.Errorf("%s, fault %d: error %v after %v, body %q, want %q", p.Service, fault, err, took, body, want)
			}
		}
	}
}

func TestResponseWithoutLengthIsComplete(t *testing.T) {
	for want, p := range map[string]*Replica{
		stream("x", EventCount("x")):       startEngine(t),
		PlainResponse("/quotes/x", "body"): newPlainReplica(t),
	} {
		resp, body, err := get(t, p, FaultNoLength)
		if err != nil || body != want || resp.ContentLength != -1 || len(resp.TransferEncoding) > 0 {
			t.Errorf("%s: error %v, length %d, encoding %v, body %q, want %q", p.Service, err, resp.ContentLength,
				resp.TransferEncoding, body, want)
		}
	}
}

func TestStreamEndsInsideEvent(t *testing.T) {
	for fault, chunked := range map[Fault]bool{FaultEndInEvent: true, FaultEndInEventNoLength: false} {
		resp, body, err := get(t, startEngine(t), fault)
		begin, next := stream("x", 2), EventText("x", 3)
		if err != nil || body != begin+next[:len(next)/2] || (len(resp.TransferEncoding) > 0) != chunked {
			t.Errorf("fault %d: error %v, encoding %v, body %q", fault, err, resp.TransferEncoding, body)
		}
	}
}

func TestBytesWithoutEnd(t *testing.T) {
	const enough = 1 << 20 // bytes after which the client closes the connection
	for fault, begin := range map[Fault]string{
		FaultEndlessLine: "xxxx", FaultEndlessHead: "HTTP/1.1 200 OK\r\n", FaultEndlessIntermediate: "HTTP/1.1 103 ",
		FaultEndlessBody: "HTTP/1.1 200 OK\r\n",
	} {
		p := newPlainReplica(t)
		p.Fault = func(*http.Request) Fault { return fault }
		conn := dialReplica(t, p)
		if err := httptest.NewRequest(http.MethodGet, "http://desk/x", nil).Write(conn); err != nil {
			t.Fatal(err)
		}
		data := make([]byte, enough)
		if _, err := io.ReadFull(conn, data); err != nil || !strings.HasPrefix(string(data), begin) {
			t.Errorf("fault %d: %v, begins with %q", fault, err, data[:40])
		}
		_ = conn.Close()
		for end := time.Now().Add(5 * time.Second); p.EndlessBytes() < enough; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("fault %d: the replica hasn't noticed that the client closed the connection", fault)
			}
		}
	}
}

func dialReplica(t *testing.T, p *Replica) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Address.String())
	if err != nil {
		t.Fatal(err)
	}
	return conn
}
