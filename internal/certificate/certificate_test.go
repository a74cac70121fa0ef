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

// authority is a certificate authority that signs the certificates of a test.
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

// sign creates a certificate with the given common name. It is signed by issuer, or is the certificate of a new
// authority if issuer is nil.
func sign(t *testing.T, name string, issuer *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: issuer == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.cert, issuer.key
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

// write writes a new key pair with the given common name to the files of s and sets their modification time to age ago.
func (a *authority) write(t *testing.T, s *KeySource, name string, age time.Duration) {
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

// newSource returns a loaded source with a key pair of the given common name, signed by a, and a as its authority.
func newSource(t *testing.T, a *authority, name string) *KeySource {
	t.Helper()
	dir := t.TempDir()
	s := &KeySource{
		CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"),
		CAFile: filepath.Join(dir, "ca"),
	}
	a.write(t, s, name, 0)
	writePEM(t, s.CAFile, "CERTIFICATE", a.cert.Raw)
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	return s
}

// expire makes the next handshake check whether the files have changed.
func (k *KeySource) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkedAt = time.Time{}
}

// handshake returns the common names in the certificates of both sides, or the error of the client or the server.
func handshake(t *testing.T, server, client *tls.Config) (serverName, clientName string, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clientConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer clientConn.Close()
	serverConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer serverConn.Close()
	s, c := tls.Server(serverConn, server), tls.Client(clientConn, client)
	done := make(chan error, 1)
	go func() { done <- s.Handshake() }()
	if err = c.Handshake(); err != nil {
		clientConn.Close()
	}
	if serverErr := <-done; serverErr != nil {
		err = serverErr
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
	server, client := s.ServerConfig(), newSource(t, a, "client").ClientConfig()
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
			pemData, _ := os.ReadFile(other.KeyFile)
			a.write(t, s, "fourth", 0)
			_ = os.WriteFile(s.KeyFile, pemData, 0o600)
		}, "third"},
		{"absent file", func() { os.Remove(s.KeyFile) }, "third"},
		{"complete pair again", func() { a.write(t, s, "fifth", 0) }, "fifth"},
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
	server := s.ServerConfig()
	client := newSource(t, b, "stranger").ClientConfig()
	client.VerifyPeerCertificate = nil
	if _, _, err := handshake(t, server, client); err == nil {
		t.Fatal("the server accepted a client of another authority")
	}
	writePEM(t, s.CAFile, "CERTIFICATE", b.cert.Raw)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(s.CAFile, later, later); err != nil {
		t.Fatal(err)
	}
	s.expire()
	if _, peer, err := handshake(t, server, client); err != nil || peer != "stranger" {
		t.Errorf("after the authority was replaced: client %q, error %v", peer, err)
	}
}

func TestUntrustedPeersAreRefused(t *testing.T) {
	a, b := newAuthority(t), newAuthority(t)
	own, otherAuthority := newSource(t, a, "ours"), newSource(t, b, "strange")
	withoutCert := &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the test is about the server's verification
	unverified := newSource(t, b, "open")
	unverified.CAFile = ""
	if err := unverified.Load(); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"same authority", own.ServerConfig(), own.ClientConfig(), true},
		{"client of another authority", own.ServerConfig(), otherAuthority.ClientConfig(), false},
		{"server of another authority", unverified.ServerConfig(), own.ClientConfig(), false},
		{"sides that verify nothing", unverified.ServerConfig(), unverified.ClientConfig(), true},
		{"client without certificate", own.ServerConfig(), withoutCert, false},
	}
	for _, tc := range tests {
		if _, _, err := handshake(t, tc.server, tc.client); (err == nil) != tc.ok {
			t.Errorf("%s: error %v", tc.name, err)
		}
	}
}

func TestPairInMemory(t *testing.T) {
	s := new(KeySource)
	if err := s.Load(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := handshake(t, s.ServerConfig("x"), s.ClientConfig("x")); err != nil {
		t.Error(err)
	}
}

func TestLoadFails(t *testing.T) {
	s := newSource(t, newAuthority(t), "x")
	s.CAFile = s.KeyFile
	if err := s.Load(); err == nil {
		t.Error("a key was loaded as an authority")
	}
	s.CertFile = "absent"
	if err := s.Load(); err == nil {
		t.Error("an absent certificate was loaded")
	}
}
