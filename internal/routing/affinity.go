package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// affinityBlockIndex is the index of the prompt block whose hash is the affinity key. The hash also covers the blocks
// before it. A prompt with fewer blocks uses its last one.
const affinityBlockIndex = 1

// affinityServers returns the two backend servers with the highest rendezvous weights for the hash of the prompt's
// leading blocks. All hosts compute the same two, so prompts with the same prefix reach the same backend servers and
// can reuse their prefix cache. The preference only lowers their cost, so a longer wait there outweighs it.
// It returns nil for a server that does not exist, and nil for both if affinity is disabled, the prompt has no full
// block or the prompt is long. Backend servers in the subset for long prompts are not considered.
func (r *Router) affinityServers(view *fleet.View, req protocol.GrantRequest, exclude []string) (first,
	second *fleet.Entry,
) {
	if r.DisablePrefixAffinity || len(req.Blocks) == 0 || r.isLong(req.PromptTokens) {
		return nil, nil
	}
	key := req.Blocks[min(affinityBlockIndex, len(req.Blocks)-1)]
	var firstWeight, secondWeight uint64
	for i := range view.Entries {
		e := &view.Entries[i]
		if e.Row.ForLongPrompts || !canServe(view, e, req, exclude) {
			continue
		}
		switch w := rendezvousWeight(key, xxhash.Sum64String(e.Server.Name)); {
		case first == nil || w > firstWeight:
			first, second, firstWeight, secondWeight = e, first, w, firstWeight
		case second == nil || w > secondWeight:
			second, secondWeight = e, w
		}
	}
	return first, second
}
