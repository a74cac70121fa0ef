package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreadable Kind = "unreadable"
	KindInvalid    Kind = "invalid"
)

// Error is a failure to read a key pair or an authority.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Files are looked at this often at most.
const checkInterval = 2 * time.Second

// A certificate made in memory is used by hosts without key files.
const ephemeralLifetime = 10 * 365 * 24 * time.Hour

// Source holds a key pair and an authority; Load must succeed before the TLS settings are used.
type Source struct {
	CertFile string // empty: a certificate is made in memory
	KeyFile  string
	CAFile   string // empty: the other side's certificate is not checked

	mu      sync.Mutex
	checked time.Time
	loaded  version
	pair    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files, or returns an *Error.
func (s *Source) Load() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

// Server returns settings for listeners that ask the protocol names next, in their order.
func (s *Source) Server(next ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: next,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := s.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: next, Certificates: []tls.Certificate{*pair}}
			if pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// Client returns settings for connections to servers that are known by IP number.
func (s *Source) Client(next ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         next,
		InsecureSkipVerify: true, // the chain is checked below, since hosts have no names
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := s.current()
			return pair, nil
		},
		VerifyPeerCertificate: s.verify,
	}
}

func (s *Source) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	_, pool := s.current()
	if pool == nil {
		return nil
	}
	if len(raw) == 0 {
		return &Error{Op: "verify", Kind: KindInvalid, Err: errors.New("no certificate")}
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return &Error{Op: "verify", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	between := x509.NewCertPool()
	for _, der := range raw[1:] {
		if cert, err := x509.ParseCertificate(der); err == nil {
			between.AddCert(cert)
		}
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := leaf.Verify(options); err != nil {
		return &Error{Op: "verify", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return nil
}

// Returns the newest keys that could be read; files that are half written leave the old ones in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.CertFile != "" && time.Since(s.checked) > checkInterval {
		s.checked = time.Now()
		if s.version() != s.loaded {
			_ = s.load()
		}
	}
	return s.pair, s.pool
}

func (s *Source) load() error {
	if s.CertFile == "" {
		return s.makePair()
	}
	loaded := s.version()
	pair, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return &Error{Op: "load key pair", Kind: KindUnreadable, Err: errors.WithStack(err)}
	}
	pool, err := s.loadPool()
	if err != nil {
		return err
	}
	s.pair, s.pool, s.loaded = &pair, pool, loaded
	return nil
}

func (s *Source) loadPool() (*x509.CertPool, error) {
	if s.CAFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, &Error{Op: "load authority", Kind: KindUnreadable, Err: errors.WithStack(err)}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &Error{Op: "load authority", Kind: KindInvalid, Err: errors.Errorf("%s holds no certificate", s.CAFile)}
	}
	return pool, nil
}

// Tells whether files changed; a file may be replaced by one that is older, as at a rollback.
type version [3]fileVersion

type fileVersion struct {
	modified time.Time
	size     int64
}

func (s *Source) version() version {
	var v version
	for i, file := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if info, err := os.Stat(file); err == nil {
			v[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return v
}

func (s *Source) makePair() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &Error{Op: "make key pair", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(ephemeralLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return &Error{Op: "make key pair", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	s.pair = &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return nil
}
