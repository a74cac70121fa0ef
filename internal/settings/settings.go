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

// Kinds of errors of this package.
const (
	KindUnreadable Kind = "unreadable" // the file could not be read
	KindInvalid    Kind = "invalid"    // the file is not valid JSON with comments, or a setting is not valid
)

// Error is a failure to read or validate a settings file.
type Error struct {
	Op   string
	Kind Kind
	File string
	Err  error
}

// Error returns the file and the cause in one line.
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

	// Host holds the name of the host and its location.
	Host struct {
		Name          string `json:"name"`
		FailureDomain string `json:"failure_domain"`
		Region        string `json:"region"`
	}

	// Callers configures the HTTP listener for callers.
	Callers struct {
		Listen            netip.AddrPort `json:"listen"`
		TLS               TLS            `json:"tls"`
		MaxBodyBytes      int64          `json:"max_body_bytes"`   // limit for the body of one request
		MaxTotalBodyBytes int64          `json:"max_bodies_bytes"` // limit for the bodies of all requests in progress
	}

	// Peers configures the QUIC listener for other hosts. Seeds are the hosts that this one contacts first to join them.
	Peers struct {
		Listen netip.AddrPort   `json:"listen"`
		TLS    TLS              `json:"tls"`
		Seeds  []netip.AddrPort `json:"seeds"`
	}

	// Operators configures the HTTP listener of the administration interface.
	Operators struct {
		Listen netip.AddrPort `json:"listen"`
		TLS    TLS            `json:"tls"`
		Tokens []Token        `json:"tokens"`
	}

	// Token authenticates an operator. SHA256 is the hexadecimal digest of the secret token; Name also identifies the
	// operator in a client certificate.
	Token struct {
		Name     string   `json:"name"`
		SHA256   string   `json:"sha256"`
		Sections []string `json:"sections"` // configuration sections that the operator may change; empty means all
	}

	// TLS names the files of a key pair and of the certificate authority that must have signed the other side's
	// certificate.
	TLS struct {
		CertFile string `json:"cert_file"`
		KeyFile  string `json:"key_file"`
		CAFile   string `json:"ca_file"`
	}

	// Platform configures the address of the platform's service and the share of its request rates that this host may
	// use.
	Platform struct {
		Address         netip.AddrPort `json:"address"`
		WritesPerSecond float64        `json:"writes_per_second"`
		ReadsPerSecond  float64        `json:"reads_per_second"`
	}

	// Log configures the format and the minimum level of log lines.
	Log struct {
		Format string     `json:"format"` // "json" or "text"
		Level  slog.Level `json:"level"`
	}

	// Timing holds the durations that differ between deployments.
	Timing struct {
		BalancerDelay Duration `json:"balancer_delay"` // load balancer sends requests this long after readiness is off
		StopTimeout   Duration `json:"stop_timeout"`   // a stopping host closes streams that last longer
		ProbeInterval Duration `json:"probe_interval"` // between probes of other hosts
		FrameGap      Duration `json:"frame_gap"`      // longest time without data on an open connection to an engine
	}

	// Duration is a time.Duration that is encoded as text such as "30s".
	Duration time.Duration
)

// UnmarshalText parses d in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"30s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats d like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Defaults of settings that the file omits.
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

// Load reads and validates a settings file. It returns an *Error if that fails; for an invalid file the message of the
// error includes the line.
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

// Parse parses and validates settings. It returns a *jsonc.Error if they are invalid.
func Parse(source []byte) (*Settings, error) {
	text, err := jsonc.Parse(source)
	if err != nil {
		return nil, err
	}
	s := defaults()
	if err := text.Decode(s); err != nil {
		return nil, err
	}
	if v := s.check(); v != nil {
		return nil, text.FieldError(v.path, v.cause)
	}
	return s, nil
}

func defaults() *Settings {
	return &Settings{
		Callers:  Callers{MaxBodyBytes: defaultMaxBodyBytes, MaxTotalBodyBytes: defaultMaxBodiesBytes},
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

// violation is a setting that is not valid: its path, such as "peers.listen", and the reason.
type violation struct {
	path  string
	cause error
}

// check validates the settings and returns the first violation, or nil if there is none. The checks that it calls do
// the same for parts of the settings.
func (s *Settings) check() *violation {
	checks := []func() *violation{s.checkHost, s.checkListeners, s.checkTLS, s.checkTokens, s.checkPlatform, s.checkRest}
	for _, check := range checks {
		if v := check(); v != nil {
			return v
		}
	}
	return nil
}

func (s *Settings) checkHost() *violation {
	switch {
	case s.Host.Name == "":
		return &violation{"host.name", errors.New("must be set")}
	case s.Host.FailureDomain == "":
		return &violation{"host.failure_domain", errors.New("must be set")}
	case s.Host.Region == "":
		return &violation{"host.region", errors.New("must be set")}
	}
	return nil
}

func (s *Settings) checkListeners() *violation {
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
			return &violation{a.path, errors.New("must be an IP number and a port such as \"127.0.0.1:8080\"")}
		}
	}
	if s.Peers.Listen.Addr().IsUnspecified() {
		return &violation{"peers.listen", errors.New("other hosts are told this address, so it can't be unspecified")}
	}
	return nil
}

func (s *Settings) checkTLS() *violation {
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
			return &violation{f.path, errors.New("cert_file and key_file go together")}
		}
		if f.tls.CAFile != "" && f.tls.CertFile == "" {
			return &violation{f.path + ".ca_file", errors.New("needs cert_file and key_file")}
		}
	}
	return nil
}

func (s *Settings) checkTokens() *violation {
	for i, token := range s.Operators.Tokens {
		path := "operators.tokens[" + strconv.Itoa(i) + "]"
		if token.Name == "" {
			return &violation{path + ".name", errors.New("must be set")}
		}
		if token.SHA256 == "" && s.Operators.TLS.CAFile != "" {
			continue // the operator authenticates by a client certificate
		}
		if digest, err := hex.DecodeString(token.SHA256); err != nil || len(digest) != sha256.Size {
			return &violation{path + ".sha256", errors.New("must be 64 hexadecimal digits")}
		}
	}
	if len(s.Operators.Tokens) == 0 && s.Operators.TLS.CAFile == "" && !s.Operators.Listen.Addr().IsLoopback() {
		return &violation{"operators.tokens", errors.New("a listener that others reach needs tokens or tls.ca_file")}
	}
	return nil
}

func (s *Settings) checkPlatform() *violation {
	switch {
	case s.Platform.WritesPerSecond <= 0:
		return &violation{"platform.writes_per_second", errors.New("must be above 0")}
	case s.Platform.ReadsPerSecond <= 0:
		return &violation{"platform.reads_per_second", errors.New("must be above 0")}
	}
	return nil
}

// checkRest validates the limits of request bodies, the log format and the timing.
func (s *Settings) checkRest() *violation {
	if s.Callers.MaxBodyBytes <= 0 {
		return &violation{"callers.max_body_bytes", errors.New("must be above 0")}
	}
	if s.Callers.MaxTotalBodyBytes < s.Callers.MaxBodyBytes {
		return &violation{"callers.max_bodies_bytes", errors.New("must be at least max_body_bytes")}
	}
	if s.Log.Format != "json" && s.Log.Format != "text" {
		return &violation{"log.format", errors.New("must be \"json\" or \"text\"")}
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
			return &violation{d.path, errors.New("must be above 0")}
		}
	}
	return nil
}
