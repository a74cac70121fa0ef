package gateway

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/pkg/hoststatus"
)

// monitoringHandler returns the handler of the metrics address: the status at /status, the metrics at all other paths.
func (g *Gateway) monitoringHandler() http.Handler {
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

// status returns the host's current state as it is served at /status. The configuration's fields are 0 until the host
// has a configuration.
func (g *Gateway) status() *hoststatus.Status {
	s := &hoststatus.Status{
		Host:            g.Settings.Host,
		FailureDomain:   g.Settings.FailureDomain,
		Version:         g.Version,
		Ready:           g.ready(),
		InFlight:        g.relay.InFlight(),
		Planner:         g.placement.Planner(),
		IsPlanner:       g.placement.IsPlanner(),
		WaitingRequests: g.placement.Waiting(),
		Hosts:           g.placement.Members(),
		Holdings:        g.holdings(),
	}
	s.Crossings.Requests, s.Crossings.Bytes = g.crossings.Totals()
	s.Crossings.Price = g.CrossingPrice
	if config, verifiedAt := g.cache.Active(); config != nil {
		s.Configuration.Version = config.Version
		s.Configuration.VerifiedAgeMS = steady.Now().Sub(verifiedAt).Milliseconds()
	}
	for _, r := range g.cache.Replicas() {
		s.Replicas = append(s.Replicas, hoststatus.Replica{
			ID: r.ID, Service: r.Service, FailureDomain: r.FailureDomain, Address: r.Address, Draining: r.Draining,
			Evacuated:       g.cache.IsEvacuated(r),
			ColdRemainingMS: g.placement.ColdRemaining(r).Milliseconds(),
		})
	}
	s.Evacuations = g.evacuations()
	return s
}

// evacuations returns what this host knows of evacuations, or nil if it knows nothing or doesn't read them.
func (g *Gateway) evacuations() *hoststatus.Evacuations {
	set := g.cache.Evacuated()
	if !set.IsKnown() {
		return nil
	}
	return &hoststatus.Evacuations{
		FailureDomains: set.Domains, Unknown: g.cache.UnknownEvacuated(),
		ReadAgeMS: steady.Now().Sub(set.ReadAt).Milliseconds(),
	}
}
