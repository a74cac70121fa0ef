package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/jsonc"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreadable Kind = "unreadable"
	KindInvalid    Kind = "invalid"
)

// Error is a failure to read or check a settings file.
type Error struct {
	Op   string
	Kind Kind
	File string
	Err  error
}

// Error returns the file and the mistake in one line.
func (e *Error) Error() string { return e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

type (
	// Settings are the settings of one entry host.
	Settings struct {
		Host      Host      `json:"host"`
		Callers   Callers   `json:"callers"`
		Peers     Peers     `json:"peers"`
		Operators Operators `json:"operators"`
		Platform  Platform  `json:"platform"`
		Log       Log       `json:"log"`
		Timing    Timing    `json:"timing"`
	}

	// Host names the host and its place.
	Host struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failure_domain"`
		Region        string `json:"region"`
	}

	// Callers is the listener for callers.
	Callers struct {
		Listen         netip.AddrPort `json:"listen"`
		TLS            TLS            `json:"tls"`
		MaxBodyBytes   int64          `json:"max_body_bytes"`
		MaxBodiesBytes int64          `json:"max_bodies_bytes"` // of all requests under way
	}

	// Peers is the QUIC listener for other hosts, and the hosts that are asked first.
	Peers struct {
		Listen netip.AddrPort   `json:"listen"`
		TLS    TLS              `json:"tls"`
		Seeds  []netip.AddrPort `json:"seeds"`
	}

	// Operators is the listener of the administration interface.
	Operators struct {
		Listen netip.AddrPort `json:"listen"`
		TLS    TLS            `json:"tls"`
		Tokens []Token        `json:"tokens"`
	}

	// Token lets an operator in; SHA256 is the hexadecimal digest of the secret, and Name also that in a certificate.
	Token struct {
		Name     string   `json:"name"`
		SHA256   string   `json:"sha256"`
		Sections []string `json:"sections"` // that the operator may change; empty means all
	}

	// TLS names the files of a key pair and of the authority that signs the other side's.
	TLS struct {
		CertFile string `json:"cert_file"`
		KeyFile  string `json:"key_file"`
		CAFile   string `json:"ca_file"`
	}

	// Platform is the platform's service and the share of its rates that this host may use.
	Platform struct {
		Address         netip.AddrPort `json:"address"`
		WritesPerSecond float64        `json:"writes_per_second"`
		ReadsPerSecond  float64        `json:"reads_per_second"`
	}

	// Log says how log lines are written.
	Log struct {
		Format string     `json:"format"` // json or text
		Level  slog.Level `json:"level"`
	}

	// Timing holds the times that differ between deployments.
	Timing struct {
		BalancerDelay Duration `json:"balancer_delay"` // the balancer sends new requests for this long after readiness is off
		StopTimeout   Duration `json:"stop_timeout"`   // streams that last longer are cut at a stop
		ProbeInterval Duration `json:"probe_interval"`
		FrameGap      Duration `json:"frame_gap"` // longest silence on an engine's open connection
	}

	// Duration is a time.Duration written as text such as "30s".
	Duration time.Duration
)

// UnmarshalText reads d in the form that time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Values for settings that a file leaves out.
const (
	defaultMaxBodyBytes    = 16 << 20
	defaultMaxBodiesBytes  = 512 << 20
	defaultWritesPerSecond = 15
	defaultReadsPerSecond  = 60
	defaultBalancerDelay   = 2 * time.Second
	defaultStopTimeout     = 10 * time.Minute
	defaultProbeInterval   = 400 * time.Millisecond
	defaultFrameGap        = time.Second
)

// Load reads and checks the settings file, or returns an *Error that names the line.
func Load(file string) (*Settings, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindUnreadable, File: file, Err: errors.WithStack(err)}
	}
	s, err := Parse(source)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindInvalid, File: file, Err: err}
	}
	return s, nil
}

// Parse reads and checks settings, or returns a *jsonc.Error.
func Parse(source []byte) (*Settings, error) {
	text, err := jsonc.Parse(source)
	if err != nil {
		return nil, err
	}
	s := defaults()
	if err := text.Decode(s); err != nil {
		return nil, err
	}
	if m := s.check(); m != nil {
		return nil, text.Mistake(m.path, m.cause)
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Callers:  Callers{MaxBodyBytes: defaultMaxBodyBytes, MaxBodiesBytes: defaultMaxBodiesBytes},
		Platform: Platform{WritesPerSecond: defaultWritesPerSecond, ReadsPerSecond: defaultReadsPerSecond},
		Log:      Log{Format: "text"},
		Timing: Timing{
			BalancerDelay: Duration(defaultBalancerDelay),
			StopTimeout:   Duration(defaultStopTimeout),
			ProbeInterval: Duration(defaultProbeInterval),
			FrameGap:      Duration(defaultFrameGap),
		},
	}
}

type mistake struct {
	path  string
	cause error
}

func (s *Settings) check() *mistake {
	checks := []func() *mistake{s.checkHost, s.checkListeners, s.checkTLS, s.checkTokens, s.checkPlatform, s.checkRest}
	for _, check := range checks {
		if m := check(); m != nil {
			return m
		}
	}
	return nil
}

func (s *Settings) checkHost() *mistake {
	switch {
	case s.Host.Name == "":
		return &mistake{"host.name", errors.New("must be set")}
	case s.Host.FailureDomain == "":
		return &mistake{"host.failure_domain", errors.New("must be set")}
	case s.Host.Region == "":
		return &mistake{"host.region", errors.New("must be set")}
	}
	return nil
}

func (s *Settings) checkListeners() *mistake {
	addresses := []struct {
		path string
		addr netip.AddrPort
	}{
		{"callers.listen", s.Callers.Listen},
		{"peers.listen", s.Peers.Listen},
		{"operators.listen", s.Operators.Listen},
		{"platform.address", s.Platform.Address},
	}
	for _, a := range addresses {
		if !a.addr.IsValid() {
			return &mistake{a.path, errors.New("must be an IP number and a port such as \"127.0.0.1:8080\"")}
		}
	}
	if s.Peers.Listen.Addr().IsUnspecified() {
		return &mistake{"peers.listen", errors.New("other hosts are told this address, so it can't be unspecified")}
	}
	return nil
}

func (s *Settings) checkTLS() *mistake {
	files := []struct {
		path string
		tls  TLS
	}{
		{"callers.tls", s.Callers.TLS},
		{"peers.tls", s.Peers.TLS},
		{"operators.tls", s.Operators.TLS},
	}
	for _, f := range files {
		if (f.tls.CertFile == "") != (f.tls.KeyFile == "") {
			return &mistake{f.path, errors.New("cert_file and key_file go together")}
		}
		if f.tls.CAFile != "" && f.tls.CertFile == "" {
			return &mistake{f.path + ".ca_file", errors.New("needs cert_file and key_file")}
		}
	}
	return nil
}

func (s *Settings) checkTokens() *mistake {
	for i, token := range s.Operators.Tokens {
		path := "operators.tokens[" + strconv.Itoa(i) + "]"
		if token.Name == "" {
			return &mistake{path + ".name", errors.New("must be set")}
		}
		if token.SHA256 == "" && s.Operators.TLS.CAFile != "" {
			continue // the operator shows a certificate
		}
		if digest, err := hex.DecodeString(token.SHA256); err != nil || len(digest) != sha256.Size {
			return &mistake{path + ".sha256", errors.New("must be 64 hexadecimal digits")}
		}
	}
	if len(s.Operators.Tokens) == 0 && s.Operators.TLS.CAFile == "" && !s.Operators.Listen.Addr().IsLoopback() {
		return &mistake{"operators.tokens", errors.New("a listener that others reach needs tokens or tls.ca_file")}
	}
	return nil
}

func (s *Settings) checkPlatform() *mistake {
	switch {
	case s.Platform.WritesPerSecond <= 0:
		return &mistake{"platform.writes_per_second", errors.New("must be above 0")}
	case s.Platform.ReadsPerSecond <= 0:
		return &mistake{"platform.reads_per_second", errors.New("must be above 0")}
	}
	return nil
}

func (s *Settings) checkRest() *mistake {
	if s.Callers.MaxBodyBytes <= 0 {
		return &mistake{"callers.max_body_bytes", errors.New("must be above 0")}
	}
	if s.Callers.MaxBodiesBytes < s.Callers.MaxBodyBytes {
		return &mistake{"callers.max_bodies_bytes", errors.New("must be at least max_body_bytes")}
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		return &mistake{"log.format", errors.New("must be \"json\" or \"text\"")}
	}
	durations := []struct {
		path  string
		value Duration
	}{
		{"timing.balancer_delay", s.Timing.BalancerDelay},
		{"timing.stop_timeout", s.Timing.StopTimeout},
		{"timing.probe_interval", s.Timing.ProbeInterval},
		{"timing.frame_gap", s.Timing.FrameGap},
	}
	for _, d := range durations {
		if d.value <= 0 {
			return &mistake{d.path, errors.New("must be above 0")}
		}
	}
	return nil
}
