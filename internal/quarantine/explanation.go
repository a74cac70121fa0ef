package quarantine

import (
	"cmp"
	"slices"
)

// explanation is a set of suspects that explain all crashes that any of the candidates can explain.
type explanation []*suspect

// explain returns the explanation with the fewest requests at the crashes: a replica crashes under the first request that is
// the cause, so that there are few others of that kind with it. It is sought from each candidate, by always adding the
// suspect that explains most further crashes for its requests. The proof of each suspect is set.
func explain(candidates []*suspect) explanation {
	best := cheapest(candidates)
	best.setProof()
	return best
}

func cheapest(candidates []*suspect) explanation {
	var best explanation
	for _, first := range append([]*suspect{nil}, candidates...) {
		e := complete(first, candidates)
		if best == nil || e.cost() < best.cost() {
			best = e
		}
	}
	return best
}

// isClear reports whether any explanation without the suspect takes far more requests.
func (e explanation) isClear(s *suspect, candidates []*suspect) bool {
	const marginPercent = 25
	others := slices.DeleteFunc(slices.Clone(candidates), func(other *suspect) bool { return other == s })
	alternative := cheapest(others)
	return alternative.crashes().len() < e.crashes().len() || alternative.cost()*100 > e.cost()*(100+marginPercent)
}

// crashes returns the crashes that are explained.
func (e explanation) crashes() crashSet {
	var all crashSet
	for _, s := range e {
		all.addAll(s.crashes)
	}
	return all
}

// complete returns an explanation with the first suspect, if that isn't nil or needless.
func complete(first *suspect, candidates []*suspect) explanation {
	var e explanation
	var explained crashSet
	for next := first; ; {
		if next == nil {
			next = mostExplaining(candidates, explained)
		}
		if next == nil {
			return e.withoutNeedless()
		}
		e = append(e, next)
		explained.addAll(next.crashes)
		next = nil
	}
}

// mostExplaining returns the suspect that explains most further crashes in relation to its requests, or nil if there is none.
// Of equally good ones it returns that with the fewest requests, since its quarantine refuses less.
func mostExplaining(candidates []*suspect, explained crashSet) *suspect {
	var best *suspect
	mostGain := 0.0
	for _, s := range candidates {
		gain := float64(s.crashes.lenWithout(explained)) / float64(s.weight())
		if gain > mostGain || gain == mostGain && gain > 0 && s.weight() < best.weight() {
			best, mostGain = s, gain
		}
	}
	return best
}

// withoutNeedless removes the suspects all of whose crashes the others explain, those with most requests first.
func (e explanation) withoutNeedless() explanation {
	slices.SortStableFunc(e, func(a, b *suspect) int { return cmp.Compare(b.weight(), a.weight()) })
	for i := 0; i < len(e); {
		var others crashSet
		for j, s := range e {
			if j != i {
				others.addAll(s.crashes)
			}
		}
		if e[i].crashes.lenWithout(others) > 0 {
			i++
			continue
		}
		e = slices.Delete(e, i, i+1)
	}
	return e
}

// cost returns the number of requests with the suspects at the crashes.
func (e explanation) cost() int {
	n := 0
	for _, s := range e {
		n += s.weight()
	}
	return n
}

// setProof sets the proof of each suspect.
func (e explanation) setProof() {
	var explained crashSet
	for left := slices.Clone(e); len(left) > 0; {
		next := slices.MaxFunc(left, func(a, b *suspect) int {
			return cmp.Compare(a.crashes.lenWithout(explained), b.crashes.lenWithout(explained))
		})
		next.proof = next.crashes.lenWithout(explained)
		explained.addAll(next.crashes)
		left = slices.DeleteFunc(left, func(s *suspect) bool { return s == next })
	}
}
