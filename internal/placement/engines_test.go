package placement

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// Guards against a configuration that drops a service in use, or whose replicas are all unlisted for a while: the planner
// forgot how long the engines' passes take, and sound engines were given up as silent.
func TestEnginesOfServiceInUseStayKnown(t *testing.T) {
	engine := &catalog.EngineParams{Slots: 16}
	llm := &catalog.Service{Name: "llm", Engine: engine}
	plain := &catalog.Service{Name: "llm"}
	configured := func(services ...*catalog.Service) *catalog.Configuration {
		return catalog.New(1, catalog.Limits{}, nil, services, nil, false)
	}
	replicas := []replica.Replica{{ID: "r", Service: "llm"}}
	known := engines(nil, configured(llm), replicas)
	for _, test := range []struct {
		name     string
		config   *catalog.Configuration
		replicas []replica.Replica
		want     *catalog.EngineParams
	}{
		{"service dropped", configured(), replicas, engine},
		{"no replica listed", configured(llm), nil, engine},
		{"no configuration", nil, replicas, engine},
		{"service without engines", configured(plain), replicas, nil},
	} {
		if got := engines(known, test.config, test.replicas)["llm"]; got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
