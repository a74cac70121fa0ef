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
	requestTimeout    = time.Minute            // timeout of each request
	questionTokens    = 1_000                  // length of a short prompt, in tokens
	dossierTokens     = 200_000                // length of a long prompt, in tokens
	overMemoryTokens  = 600_000                // length of a prompt that does not fit into one engine's memory, in tokens
	outputTokens      = 64                     // length of each completion, in tokens
	orderKey          = "demo-order-1"         // idempotency key of the order
	stockItem         = "die-steel-40"         // item that is ordered and whose stock is read
	readinessInterval = 100 * time.Millisecond // pause between two rounds of readiness checks
	readinessTimeout  = 30 * time.Second       // time within which all entry hosts must be ready
)

// Demo sends the main kinds of requests through different entry hosts. Its exported fields must be set before Run.
type Demo struct {
	EntryURLs  []string // base URLs of the entry hosts' listeners for callers
	ServiceURL string   // base URL of the order service itself, to count the runs of the order
	Model      string
	Workspace  string
	Out        io.Writer // receives the table

	caller caller.Caller
	rows   []row
}

// row is one row of the table.
type row struct {
	request string
	result  caller.Result
}

// Run sends all requests and prints a table. It returns an error if the entry hosts don't become ready, if a response
// is faulty or its outcome is not completed, or if the order did not run exactly once.
func (d *Demo) Run(ctx context.Context) error {
	if len(d.EntryURLs) == 0 {
		return errors.New("no entry hosts given")
	}
	d.caller.HTTP.Timeout = requestTimeout
	if err := d.awaitEntries(ctx); err != nil {
		return err
	}
	d.prompt(ctx, "question, 1,000 tokens", 0, questionTokens, false)
	d.prompt(ctx, "question, streamed", 1, questionTokens, true)
	d.prompt(ctx, "dossier, 200,000 tokens", 2, dossierTokens, true)
	d.prompt(ctx, "prompt over one engine's memory", 3, overMemoryTokens, true)
	d.call(ctx, "order confirmation", d.order(4))
	d.call(ctx, "the same order again", d.order(5))
	d.call(ctx, "stock read", &caller.Call{EntryURL: d.entry(0), Method: http.MethodGet, Path: "/orders/stock/" +
		stockItem})
	runs, err := d.orderRuns(ctx)
	if err != nil {
		return err
	}
	if err := d.print(runs); err != nil {
		return err
	}
	return d.check(runs)
}

// entry returns the entry host for request i; successive requests use successive hosts in rotation.
func (d *Demo) entry(i int) string { return d.EntryURLs[i%len(d.EntryURLs)] }

// awaitEntries returns when every entry host has completed a short prompt in the same round. It returns an error if
// that takes longer than readinessTimeout.
func (d *Demo) awaitEntries(ctx context.Context) error {
	for deadline := time.Now().Add(readinessTimeout); ; time.Sleep(readinessInterval) {
		notReady := ""
		for _, e := range d.EntryURLs {
			r := d.caller.Send(ctx, &caller.Prompt{
				EntryURL: e, Workspace: d.Workspace, Model: d.Model, PromptTokens: 1,
				OutputTokens: 1,
			})
			if r.Outcome != outcome.Completed {
				notReady = e
			}
		}
		if notReady == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Errorf("entry host %s is not ready", notReady)
		}
	}
}

// prompt sends a prompt through the entry host for request i and adds its result to the table.
func (d *Demo) prompt(ctx context.Context, name string, i int, tokens int64, stream bool) {
	d.rows = append(d.rows, row{name, d.caller.Send(ctx, &caller.Prompt{
		EntryURL: d.entry(i), Workspace: d.Workspace, Model: d.Model, Text: name,
		PromptTokens: tokens, OutputTokens: outputTokens, Stream: stream,
	})})
}

// order returns an order through the entry host for request i. All orders have the same idempotency key.
func (d *Demo) order(i int) *caller.Call {
	body := `{"item":"` + stockItem + `","quantity":2}`
	return &caller.Call{
		EntryURL: d.entry(i), Method: http.MethodPost, Path: "/orders/orders", Body: body,
		IdempotencyKey: orderKey,
	}
}

// call sends a call of a plain service and adds its result to the table. For a replayed response the table shows
// "(recorded)" in place of the backend server.
func (d *Demo) call(ctx context.Context, name string, c *caller.Call) {
	c.Workspace = d.Workspace
	r := d.caller.Call(ctx, c)
	if r.Replayed {
		r.BackendServer = "(recorded)"
	}
	d.rows = append(d.rows, row{name, r})
}

// orderRuns asks the order service itself how often it has run the order.
func (d *Demo) orderRuns(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.ServiceURL+"/runs", nil)
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

// print prints the table and the number of runs of the order.
func (d *Demo) print(runs int) error {
	tab := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "REQUEST\tHOST\tBACKEND SERVER\tFIRST TOKEN MS\tTOTAL MS\tOUTCOME")
	for _, r := range d.rows {
		first := "-"
		if r.result.FirstToken > 0 {
			first = fmt.Sprint(r.result.FirstToken.Milliseconds())
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%d\t%s\n",
			r.request, r.result.Host, r.result.BackendServer, first, r.result.Total.Milliseconds(), r.result.Outcome)
	}
	fmt.Fprintf(tab, "the order ran %d time(s)\n", runs)
	return errors.WithStack(tab.Flush())
}

// check returns an error for the first request whose response is faulty or whose outcome is not completed, or if the
// order did not run exactly once.
func (d *Demo) check(runs int) error {
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
