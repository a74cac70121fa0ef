package cli

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericshunt/turmericshunt/pkg/adminclient"
)

const (
	addressVariable = "TURMERICSHUNT_ADDRESS"
	tokenVariable   = "TURMERICSHUNT_TOKEN"
	defaultAddress  = "http://127.0.0.1:9000"
	callTimeout     = 30 * time.Second
)

// connection holds the flags that all commands share that call a host.
type connection struct {
	address    string
	token      string
	output     string
	caFile     string
	certFile   string
	keyFile    string
	retryDelay time.Duration // before the first retry of a change; it grows exponentially
	getenv     func(string) string
}

// connectionFlags adds the flags to cmd and its subcommands. They are set once the command line has been parsed.
func (p *Program) connectionFlags(cmd *cobra.Command) *connection {
	c := &connection{retryDelay: p.retryDelay, getenv: p.Getenv}
	if c.retryDelay == 0 {
		c.retryDelay = defaultRetryDelay
	}
	address := p.Getenv(addressVariable)
	if address == "" {
		address = defaultAddress
	}
	f := cmd.PersistentFlags()
	f.StringVar(&c.address, "address", address, "operators' listener of any entry host, or set in "+addressVariable)
	f.StringVar(&c.token, "token", "", "operator's token; better set in "+tokenVariable+", where other users don't see it")
	f.StringVarP(&c.output, "output", "o", "table", "json or table")
	f.StringVar(&c.caFile, "ca-file", "", "authority that signs the host's certificate")
	f.StringVar(&c.certFile, "cert-file", "", "operator's client certificate")
	f.StringVar(&c.keyFile, "key-file", "", "key of the client certificate")
	return c
}

// client returns a client for the host that the flags name, or an *Error of KindUsage if they are wrong.
func (c *connection) client() (*adminclient.Client, error) {
	if c.output != "json" && c.output != "table" {
		return nil, &Error{Op: "read flags", Kind: KindUsage, Err: errors.Errorf("--output must be json or table, not %q", c.output)}
	}
	tlsConfig, err := c.tlsConfig()
	if err != nil {
		return nil, &Error{Op: "read keys", Kind: KindUsage, Err: err}
	}
	token := c.token
	if token == "" {
		token = c.getenv(tokenVariable)
	}
	transport := &http.Transport{TLSClientConfig: tlsConfig}
	return &adminclient.Client{
		BaseURL: strings.TrimSuffix(c.address, "/"), Token: token,
		HTTP: &http.Client{Timeout: callTimeout, Transport: transport},
	}, nil
}

// tlsConfig returns the TLS settings that the flags name: the authority of the host's certificate and the operator's
// client certificate.
func (c *connection) tlsConfig() (*tls.Config, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if c.caFile != "" {
		text, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(text) {
			return nil, errors.Errorf("%s holds no certificate", c.caFile)
		}
	}
	if c.certFile != "" {
		pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// print writes value as indented JSON if --output is json. Otherwise it calls table with a writer that aligns columns.
func (c *connection) print(w io.Writer, value any, table func(io.Writer)) error {
	if c.output == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return errors.WithStack(enc.Encode(value))
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(tab)
	return errors.WithStack(tab.Flush())
}

// callError converts the error of a call to a host into an *Error of the command. It returns nil if err is nil.
// Refusals with a 5xx status are failures of the host, and their kind is KindFailed.
func callError(op string, err error) error {
	if err == nil {
		return nil
	}
	var refused *adminclient.Error
	if !errors.As(err, &refused) || refused.Kind != adminclient.KindRefused {
		return &Error{Op: op, Kind: KindFailed, Err: err}
	}
	cause := errors.New(refused.Failure.Kind + ": " + refused.Failure.Message)
	if refused.Failure.Diff != "" {
		cause = fmt.Errorf("%w\n%s", cause, refused.Failure.Diff)
	}
	kind := KindRefused
	if refused.Failure.Kind == "invalid" {
		kind = KindInvalid
	}
	if refused.Status >= http.StatusInternalServerError {
		kind = KindFailed
	}
	return &Error{Op: op, Kind: kind, Err: cause}
}
