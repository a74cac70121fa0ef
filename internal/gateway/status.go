package gateway

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
)

// monitoring serves the metrics and the status.
func (g *Gateway) monitoring() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", g.serveStatus)
	mux.Handle("/", g.metrics.Handler)
	return mux
}

func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.status()); err != nil {
		g.Log.Warn("server_error", slog.String("error", err.Error()))
	}
}

func (g *Gateway) status() *hoststatus.Status {
	s := &hoststatus.Status{
		Host:          g.Site.Host,
		FailureDomain: g.Site.FailureDomain,
		Version:       g.Version,
		Ready:         g.ingress.Ready(),
		UnderWay:      g.relay.UnderWay(),
		Planner:       g.desk.Planner(),
		PlansHere:     g.desk.Plans(),
		AsksWaiting:   g.desk.Waiting(),
		Hosts:         g.desk.Members(),
	}
	if c := g.feed.Catalog(); c != nil {
		s.Configuration.Version = c.Version
		s.Configuration.ProofAgeMS = steady.Now().Sub(g.feed.Proof()).Milliseconds()
	}
	for _, r := range g.feed.Replicas() {
		s.Replicas = append(s.Replicas, hoststatus.Replica{
			ID: r.ID, Service: r.Service, FailureDomain: r.FailureDomain, Address: r.Address, Draining: r.Draining,
		})
	}
	return s
}
