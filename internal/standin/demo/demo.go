package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

const (
	requestTimeout  = time.Minute
	bytesPerToken   = 4
	questionTokens  = 1_000
	dossierTokens   = 200_000
	longTokens      = 600_000
	answerTokens    = 64
	orderKey        = "demo-order-1"
	stockItem       = "die-steel-40"
	readinessPeriod = 100 * time.Millisecond
	readinessTime   = 30 * time.Second
)

// Demo sends the main kinds of requests through different entry hosts.
type Demo struct {
	Entries   []string // base addresses of callers' listeners
	Service   string   // base address of the order service itself
	Model     string
	Workspace string
	Out       io.Writer

	client http.Client
	rows   []row
}

type row struct {
	request string
	host    string
	server  string
	first   time.Duration
	total   time.Duration
	outcome string
	fault   string // why the answer is not as it must be
}

// Run sends all requests, prints a table and returns an error if an answer was not as it must be.
func (d *Demo) Run(ctx context.Context) error {
	if len(d.Entries) == 0 {
		return errors.New("no entry hosts given")
	}
	d.client.Timeout = requestTimeout
	if err := d.awaitEntries(ctx); err != nil {
		return err
	}
	d.prompt(ctx, "question, 1,000 tokens", 0, questionTokens, false)
	d.prompt(ctx, "question, streamed", 1, questionTokens, true)
	d.prompt(ctx, "dossier, 200,000 tokens", 2, dossierTokens, true)
	d.prompt(ctx, "prompt over one engine's memory", 3, longTokens, true)
	d.order(ctx, "order confirmation", 4)
	d.order(ctx, "the same order again", 5)
	d.stock(ctx, "stock read", 0)
	runs, err := d.orderRuns(ctx)
	if err != nil {
		return err
	}
	if err := d.print(runs); err != nil {
		return err
	}
	return d.verdict(runs)
}

func (d *Demo) entry(i int) string { return d.Entries[i%len(d.Entries)] }

// Waits until each entry host knows its models.
func (d *Demo) awaitEntries(ctx context.Context) error {
	for end := time.Now().Add(readinessTime); ; {
		waiting := ""
		for _, e := range d.Entries {
			if !d.ready(ctx, e) {
				waiting = e
			}
		}
		if waiting == "" {
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("entry host %s is not ready", waiting)
		}
		time.Sleep(readinessPeriod)
	}
}

func (d *Demo) ready(ctx context.Context, entry string) bool {
	body := `{"model":"` + d.Model + `","messages":[{"role":"user","content":"ready?"}],"max_tokens":1}`
	resp, err := d.send(ctx, http.MethodPost, entry+"/v1/chat/completions", body, "")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func (d *Demo) send(ctx context.Context, method, url, body, key string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Turmericshunt-Workspace", d.Workspace)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return d.client.Do(req)
}

func (d *Demo) order(ctx context.Context, name string, i int) {
	body := `{"item":"` + stockItem + `","quantity":2}`
	d.plain(ctx, name, http.MethodPost, d.entry(i)+"/v1/services/orders/orders", body, orderKey)
}

func (d *Demo) stock(ctx context.Context, name string, i int) {
	d.plain(ctx, name, http.MethodGet, d.entry(i)+"/v1/services/orders/stock/"+stockItem, "", "")
}

func (d *Demo) plain(ctx context.Context, name, method, url, body, key string) {
	began := time.Now()
	r := row{request: name}
	defer func() { d.rows = append(d.rows, r) }()
	resp, err := d.send(ctx, method, url, body, key)
	if err != nil {
		r.fault = err.Error()
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	r.total = time.Since(began)
	r.describe(resp.Header)
	switch {
	case err != nil:
		r.fault = err.Error()
	case resp.StatusCode >= http.StatusMultipleChoices:
		r.fault = resp.Status + ": " + string(text)
	case r.outcome != "completed":
		r.fault = "outcome " + r.outcome
	}
}

func (r *row) describe(header http.Header) {
	r.host = header.Get("Turmericshunt-Host")
	if server := header.Get("Turmericshunt-Backend-Server"); server != "" {
		r.server = server
	}
	if told := header.Get("Turmericshunt-Outcome"); told != "" {
		r.outcome = told
	}
	if header.Get("Turmericshunt-Replayed") != "" {
		r.server = "(recorded)"
	}
}

func (d *Demo) orderRuns(ctx context.Context) (int, error) {
	resp, err := d.send(ctx, http.MethodGet, d.Service+"/runs", "", "")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var counted struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&counted); err != nil {
		return 0, errors.WithStack(err)
	}
	return counted.Runs[orderKey], nil
}

func (d *Demo) print(runs int) error {
	tab := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "REQUEST\tHOST\tBACKEND SERVER\tFIRST TOKEN MS\tTOTAL MS\tOUTCOME")
	for _, r := range d.rows {
		first := "-"
		if r.first > 0 {
			first = fmt.Sprint(r.first.Milliseconds())
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%d\t%s\n", r.request, r.host, r.server, first, r.total.Milliseconds(), r.outcome)
	}
	fmt.Fprintf(tab, "the order ran %d time(s)\n", runs)
	return errors.WithStack(tab.Flush())
}

func (d *Demo) verdict(runs int) error {
	for _, r := range d.rows {
		if r.fault != "" {
			return errors.Errorf("%s: %s", r.request, r.fault)
		}
	}
	if runs != 1 {
		return errors.Errorf("the order ran %d times", runs)
	}
	return nil
}
