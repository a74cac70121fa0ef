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

// Kinds of errors of this package.
const (
	KindUnreadable Kind = "unreadable" // a file could not be read or, for a key pair, parsed
	KindInvalid    Kind = "invalid"    // a certificate or authority is missing or not valid, or could not be generated
)

// Error is a failure to load or generate a key pair, to load a certificate authority, or to verify a certificate.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// checkInterval is the minimum time between two checks whether the files have changed.
const checkInterval = 2 * time.Second

// generatedLifetime is the validity of a certificate generated in memory, which hosts without key files use.
const generatedLifetime = 10 * 365 * 24 * time.Hour

// KeySource holds a key pair and a certificate authority. Load must succeed before the TLS configurations are used.
type KeySource struct {
	CertFile string // empty: a key pair is generated in memory, and CAFile is ignored
	KeyFile  string
	CAFile   string // empty: the other side's certificate is not verified

	mu            sync.Mutex
	checkedAt     time.Time
	loadedVersion filesVersion
	pair          *tls.Certificate
	pool          *x509.CertPool
}

// Load reads the files, or generates a key pair if CertFile is empty. It returns an *Error if that fails.
func (k *KeySource) Load() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.load()
}

// ServerConfig returns a TLS configuration for listeners that offer the given ALPN protocols, in order of preference.
// Each handshake uses the current key pair, and requires a client certificate if the source has a certificate
// authority.
func (k *KeySource) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := k.current()
			c := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, Certificates: []tls.Certificate{*pair}}
			if pool != nil {
				c.ClientAuth = tls.RequireAndVerifyClientCert
				c.ClientCAs = pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns a TLS configuration for connections to servers that are identified by IP address, with the
// given ALPN protocols. Each handshake uses the current key pair and authority.
func (k *KeySource) ClientConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		InsecureSkipVerify: true, // verify checks the chain instead, since hosts have no DNS names
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := k.current()
			return pair, nil
		},
		VerifyPeerCertificate: k.verify,
	}
}

// verify returns an *Error if the chain does not lead to the certificate authority. It accepts any chain if there is no
// authority.
func (k *KeySource) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	_, pool := k.current()
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
	intermediates := x509.NewCertPool()
	for _, der := range raw[1:] {
		if cert, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(cert)
		}
	}
	options := x509.VerifyOptions{Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}
	if _, err := leaf.Verify(options); err != nil {
		return &Error{Op: "verify", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return nil
}

// current returns the newest key pair and authority that could be loaded. If the files can't be loaded, for example
// since they are only half written, the previous ones stay in use.
func (k *KeySource) current() (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.CertFile != "" && time.Since(k.checkedAt) > checkInterval {
		k.checkedAt = time.Now()
		if k.currentVersion() != k.loadedVersion {
			_ = k.load()
		}
	}
	return k.pair, k.pool
}

// load reads the files, or generates a key pair, and replaces the current ones if that succeeds. The caller must hold
// s.mu.
func (k *KeySource) load() error {
	if k.CertFile == "" {
		return k.generatePair()
	}
	version := k.currentVersion()
	pair, err := tls.LoadX509KeyPair(k.CertFile, k.KeyFile)
	if err != nil {
		return &Error{Op: "load key pair", Kind: KindUnreadable, Err: errors.WithStack(err)}
	}
	pool, err := k.loadPool()
	if err != nil {
		return err
	}
	k.pair, k.pool, k.loadedVersion = &pair, pool, version
	return nil
}

// loadPool reads the certificate authority; it returns nil if CAFile is empty.
func (k *KeySource) loadPool() (*x509.CertPool, error) {
	if k.CAFile == "" {
		return nil, nil
	}
	pemData, err := os.ReadFile(k.CAFile)
	if err != nil {
		return nil, &Error{Op: "load authority", Kind: KindUnreadable, Err: errors.WithStack(err)}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemData) {
		return nil, &Error{Op: "load authority", Kind: KindInvalid, Err: errors.Errorf("%s holds no certificate", k.CAFile)}
	}
	return pool, nil
}

// filesVersion describes the files by modification time and size, so that a change can be detected. Versions are
// compared for equality only, since a file may be replaced by an older one, as at a rollback.
type filesVersion [3]fileVersion

type fileVersion struct {
	modified time.Time
	size     int64
}

// currentVersion returns the version of the files on disk; that of an absent file is zero.
func (k *KeySource) currentVersion() filesVersion {
	var v filesVersion
	for i, file := range []string{k.CertFile, k.KeyFile, k.CAFile} {
		if info, err := os.Stat(file); err == nil {
			v[i] = fileVersion{info.ModTime(), info.Size()}
		}
	}
	return v
}

// generatePair generates a key pair with a self-signed certificate. The caller must hold s.mu.
func (k *KeySource) generatePair() error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &Error{Op: "make key pair", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(generatedLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return &Error{Op: "make key pair", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	k.pair = &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	return nil
}
