package placement

import (
	"maps"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
	"github.com/turmericshunt/turmericshunt/internal/replica"
)

// engines returns the engine parameters of each service that has engines. Those that are known stay as they are if the
// service has no replica or the configuration doesn't name it, since requests may still be in progress there.
func engines(known map[string]*catalog.EngineParams, c *catalog.Configuration, replicas []replica.Replica,
) map[string]*catalog.EngineParams {
	byService := make(map[string]*catalog.EngineParams, len(known))
	maps.Copy(byService, known)
	if c == nil {
		return byService
	}
	for _, r := range replicas {
		s := c.Service(r.Service)
		switch {
		case s == nil:
		case s.Engine == nil:
			delete(byService, r.Service)
		default:
			byService[r.Service] = s.Engine
		}
	}
	return byService
}
