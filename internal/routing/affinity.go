package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

// affinityBlock is the leading block whose hash, which covers those before it, says where a prompt belongs.
const affinityBlock = 1

// affine returns the two backend servers that a prompt belongs to by rendezvous hashing of its leading blocks.
// All hosts agree on them, so that prompts with equal beginnings meet, and a wait there outweighs the preference.
func (r *Router) affine(view *fleet.View, ask protocol.Ask, exclude []string) (first, second *fleet.Entry) {
	if r.NoAffinity || len(ask.Blocks) == 0 || r.long(ask.PromptTokens) {
		return nil, nil
	}
	key := ask.Blocks[min(affinityBlock, len(ask.Blocks)-1)]
	var most, next uint64
	for i := range view.Entries {
		e := &view.Entries[i]
		if e.Row.Long || !can(view, e, ask, exclude) {
			continue
		}
		switch w := weigh(key, xxhash.Sum64String(e.Server.Name)); {
		case first == nil || w > most:
			first, second, most, next = e, first, w, most
		case second == nil || w > next:
			second, next = e, w
		}
	}
	return first, second
}
