package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Signs the certificates of a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := new(authority)
	a.cert, a.key = sign(t, "authority", nil)
	return a
}

func sign(t *testing.T, name string, by *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: by == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := template, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert, key
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Writes a pair of the given name; its files are as old as age says.
func (a *authority) write(t *testing.T, s *Source, name string, age time.Duration) {
	t.Helper()
	cert, key := sign(t, name, a)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, s.CertFile, "CERTIFICATE", cert.Raw)
	writePEM(t, s.KeyFile, "PRIVATE KEY", der)
	when := time.Now().Add(-age)
	for _, file := range []string{s.CertFile, s.KeyFile} {
		if err := os.Chtimes(file, when, when); err != nil {
			t.Fatal(err)
		}
	}
}

func newSource(t *testing.T, a *authority, name string) *Source {
	t.Helper()
	dir := t.TempDir()
	s := &Source{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "ca")}
	a.write(t, s, name, 0)
	writePEM(t, s.CAFile, "CERTIFICATE", a.cert.Raw)
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	return s
}

// Lets the next handshake look at the files again.
func (s *Source) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checked = time.Time{}
}

// Returns the names that each side showed, or the error of the client or the server.
func handshake(t *testing.T, server, client *tls.Config) (serverName, clientName string, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	s, c := tls.Server(far, server), tls.Client(near, client)
	done := make(chan error, 1)
	go func() { done <- s.Handshake() }()
	if err = c.Handshake(); err != nil {
		near.Close()
	}
	if refused := <-done; refused != nil {
		err = refused
	}
	if err != nil {
		return "", "", err
	}
	if peers := s.ConnectionState().PeerCertificates; len(peers) > 0 {
		clientName = peers[0].Subject.CommonName
	}
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName, clientName, nil
}

func TestKeysAreReadAgain(t *testing.T) {
	a := newAuthority(t)
	s := newSource(t, a, "first")
	server, client := s.Server(), newSource(t, a, "client").Client()
	steps := []struct {
		name   string
		change func()
		want   string
	}{
		{"unchanged", func() {}, "first"},
		{"newer pair", func() { a.write(t, s, "second", -time.Minute) }, "second"},
		{"older pair, as at a rollback", func() { a.write(t, s, "third", time.Hour) }, "third"},
		{"half-written certificate", func() { _ = os.WriteFile(s.CertFile, []byte("-----BEGIN"), 0o600) }, "third"},
		{"key of another pair", func() {
			other := newSource(t, a, "other")
			text, _ := os.ReadFile(other.KeyFile)
			a.write(t, s, "fourth", 0)
			_ = os.WriteFile(s.KeyFile, text, 0o600)
		}, "third"},
		{"absent file", func() { os.Remove(s.KeyFile) }, "third"},
		{"whole pair again", func() { a.write(t, s, "fifth", 0) }, "fifth"},
	}
	for _, step := range steps {
		step.change()
		s.expire()
		got, peer, err := handshake(t, server, client)
		if err != nil || got != step.want || peer != "client" {
			t.Errorf("%s: server %q, client %q, error %v; want server %q", step.name, got, peer, err, step.want)
		}
	}
}

func TestAuthorityIsReadAgain(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	s := newSource(t, a, "server")
	server := s.Server()
	stranger := newSource(t, b, "stranger").Client()
	stranger.VerifyPeerCertificate = nil
	if _, _, err := handshake(t, server, stranger); err == nil {
		t.Fatal("a client of another authority got in")
	}
	writePEM(t, s.CAFile, "CERTIFICATE", b.cert.Raw)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(s.CAFile, later, later); err != nil {
		t.Fatal(err)
	}
	s.expire()
	if _, peer, err := handshake(t, server, stranger); err != nil || peer != "stranger" {
		t.Errorf("after the change of the authority: client %q, error %v", peer, err)
	}
}

func TestStrangersAreRefused(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	ours, strange := newSource(t, a, "ours"), newSource(t, b, "strange")
	bare := &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the test looks at the other side's check
	open := newSource(t, b, "open")
	open.CAFile = ""
	if err := open.Load(); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"same authority", ours.Server(), ours.Client(), true},
		{"strange client", ours.Server(), strange.Client(), false},
		{"strange server", open.Server(), ours.Client(), false},
		{"unchecked server", open.Server(), open.Client(), true},
		{"client without certificate", ours.Server(), bare, false},
	}
	for _, tc := range tests {
		if _, _, err := handshake(t, tc.server, tc.client); (err == nil) != tc.ok {
			t.Errorf("%s: error %v", tc.name, err)
		}
	}
}

func TestPairInMemory(t *testing.T) {
	s := new(Source)
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := handshake(t, s.Server("x"), s.Client("x")); err != nil {
		t.Error(err)
	}
}

func TestLoadFails(t *testing.T) {
	s := newSource(t, newAuthority(t), "x")
	s.CAFile = s.KeyFile
	if err := s.Load(); err == nil {
		t.Error("a key was taken for an authority")
	}
	s.CertFile = "absent"
	if err := s.Load(); err == nil {
		t.Error("an absent certificate was loaded")
	}
}
