package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/standin/caller"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	requestTimeout  = time.Minute
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

	caller caller.Caller
	rows   []row
}

type row struct {
	request string
	result  caller.Result
}

// Run sends all requests, prints a table and returns an error if an answer was not as it must be.
func (d *Demo) Run(ctx context.Context) error {
	if len(d.Entries) == 0 {
		return errors.New("no entry hosts given")
	}
	d.caller.HTTP.Timeout = requestTimeout
	if err := d.awaitEntries(ctx); err != nil {
		return err
	}
	d.prompt(ctx, "question, 1,000 tokens", 0, questionTokens, false)
	d.prompt(ctx, "question, streamed", 1, questionTokens, true)
	d.prompt(ctx, "dossier, 200,000 tokens", 2, dossierTokens, true)
	d.prompt(ctx, "prompt over one engine's memory", 3, longTokens, true)
	d.call(ctx, "order confirmation", d.order(4))
	d.call(ctx, "the same order again", d.order(5))
	d.call(ctx, "stock read", &caller.Call{Entry: d.entry(0), Method: http.MethodGet, Path: "/orders/stock/" + stockItem})
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

// Waits until each entry host answers a prompt.
func (d *Demo) awaitEntries(ctx context.Context) error {
	for end := time.Now().Add(readinessTime); ; time.Sleep(readinessPeriod) {
		waiting := ""
		for _, e := range d.Entries {
			r := d.caller.Send(ctx, &caller.Prompt{Entry: e, Workspace: d.Workspace, Model: d.Model, PromptTokens: 1, OutputTokens: 1})
			if r.Outcome != outcome.Completed {
				waiting = e
			}
		}
		if waiting == "" {
			return nil
		}
		if time.Now().After(end) {
			return errors.Errorf("entry host %s is not ready", waiting)
		}
	}
}

func (d *Demo) prompt(ctx context.Context, name string, i int, tokens int64, stream bool) {
	d.rows = append(d.rows, row{name, d.caller.Send(ctx, &caller.Prompt{
		Entry: d.entry(i), Workspace: d.Workspace, Model: d.Model, Text: name,
		PromptTokens: tokens, OutputTokens: answerTokens, Stream: stream,
	})})
}

func (d *Demo) order(i int) *caller.Call {
	body := `{"item":"` + stockItem + `","quantity":2}`
	return &caller.Call{Entry: d.entry(i), Method: http.MethodPost, Path: "/orders/orders", Body: body, Key: orderKey}
}

func (d *Demo) call(ctx context.Context, name string, c *caller.Call) {
	c.Workspace = d.Workspace
	r := d.caller.Call(ctx, c)
	if r.Replayed {
		r.Server = "(recorded)"
	}
	d.rows = append(d.rows, row{name, r})
}

func (d *Demo) orderRuns(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.Service+"/runs", nil)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	resp, err := d.caller.HTTP.Do(req)
	if err != nil {
		return 0, errors.WithStack(err)
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
		if r.result.FirstToken > 0 {
			first = fmt.Sprint(r.result.FirstToken.Milliseconds())
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%d\t%s\n",
			r.request, r.result.Host, r.result.Server, first, r.result.Total.Milliseconds(), r.result.Outcome)
	}
	fmt.Fprintf(tab, "the order ran %d time(s)\n", runs)
	return errors.WithStack(tab.Flush())
}

func (d *Demo) verdict(runs int) error {
	for _, r := range d.rows {
		if r.result.Fault != "" {
			return errors.Errorf("%s: %s", r.request, r.result.Fault)
		}
		if r.result.Outcome != outcome.Completed {
			return errors.Errorf("%s: %s: %s", r.request, r.result.Kind, r.result.Body)
		}
	}
	if runs != 1 {
		return errors.Errorf("the order ran %d times", runs)
	}
	return nil
}
