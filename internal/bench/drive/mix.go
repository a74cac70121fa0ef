package drive

import (
	"math"
	"math/rand/v2"
	"time"
)

// Length classes of prompts, by number of prompt tokens.
const (
	LengthShort   Length = iota // 1,000 to 4,000
	LengthMiddle                // 4,000 to 32,000
	LengthLong                  // 32,000 to 100,000
	LengthLargest               // 100,000 to 1,000,000
	Lengths                     // number of length classes
)

// maxOutputTokens is the maximum number of output tokens that each request allows.
const maxOutputTokens = 512

// minOutputTokens is the minimum number of output tokens that an engine generates for a request.
const minOutputTokens = 50

type (
	// Length is a class of prompt lengths.
	Length int

	// Mix is the distribution from which requests are drawn.
	Mix struct {
		Share      [Lengths]float64 // share of each length class; the sum is 1 unless a class was removed
		Workspaces []float64        // share of each workspace
		Shared     float64          // probability that a prompt begins with a document that prompts of its workspace share
		Documents  int              // number of shared documents of each workspace; 0 means that prompts have no blocks
	}

	// request is one drawn request.
	request struct {
		id           int
		length       Length
		workspace    int
		promptTokens int64
		outputTokens int64
		sharedTokens int64 // leading prompt tokens that come from a shared document
		blocks       []uint64
		deadline     time.Duration
	}
)

// lengthLimits holds the limits of the length classes in tokens: class l is from lengthLimits[l] to lengthLimits[l+1].
var lengthLimits = [Lengths + 1]float64{1_000, 4_000, 32_000, 100_000, 1_000_000}

// lengthNames holds the names of the length classes, which are part of the names of measured cases.
var lengthNames = [Lengths]string{"1-4k", "4-32k", "32-100k", "100k-1M"}

// lengthDeadlines holds the deadline of each length class: the maximum time from arrival to the last token.
var lengthDeadlines = [Lengths]time.Duration{20 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute}

// String returns the name of the class, which states its limits.
func (l Length) String() string { return lengthNames[l] }

// DefaultMix returns the mix of most measurements, in which one prompt in fifty is longer than 100,000 tokens.
func DefaultMix() Mix {
	return Mix{
		Share:      [Lengths]float64{0.75, 0.18, 0.05, 0.02},
		Workspaces: []float64{0.3, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05},
	}
}

// Without returns the mix without the length class l. The shares of the other classes stay as they are, so their sum is
// less than 1: whoever draws from the mix must multiply the arrival rate by it, as Run does.
func (m Mix) Without(l Length) Mix {
	m.Share[l] = 0
	return m
}

// shareSum returns the sum of the shares of the length classes, which is 1 unless a class was removed.
func (m Mix) shareSum() float64 {
	sum := 0.0
	for _, s := range m.Share {
		sum += s
	}
	return sum
}

// meanPromptTokens returns the mean prompt length over all length classes, in tokens.
func (m Mix) meanPromptTokens() float64 {
	mean := 0.0
	for i, s := range m.Share {
		lo, hi := lengthLimits[i], lengthLimits[i+1]
		if Length(i) == LengthLargest {
			mean += s * math.Log(hi/lo) / (1/lo - 1/hi)
		} else {
			mean += s * (hi - lo) / math.Log(hi/lo)
		}
	}
	return mean / m.shareSum()
}

// draw returns a random request. Its prompt length comes from the quantile sequence of its length class.
func (m Mix) draw(random *rand.Rand, quantiles *[Lengths]quantileSequence, id int) *request {
	r := &request{id: id, workspace: pickWeighted(random, m.Workspaces)}
	r.length = Length(pickWeighted(random, m.Share[:]))
	lo, hi := lengthLimits[r.length], lengthLimits[r.length+1]
	if r.length == LengthLargest {
		r.promptTokens = int64(boundedPareto(quantiles[r.length].next(), lo, hi))
	} else {
		r.promptTokens = int64(logUniform(quantiles[r.length].next(), lo, hi))
	}
	r.outputTokens = int64(logUniform(random.Float64(), minOutputTokens, maxOutputTokens))
	r.deadline = lengthDeadlines[r.length]
	if m.Documents > 0 {
		m.addBlocks(random, r)
	}
	return r
}

// addBlocks sets the hashes of the prompt's leading blocks: with the probability Mix.Shared those of a shared document,
// then hashes that no other request has.
func (m Mix) addBlocks(random *rand.Rand, r *request) {
	n := min(int(r.promptTokens/blockTokens), maxBlocks)
	if random.Float64() < m.Shared {
		// Squaring the uniform variable makes documents with a low number much more popular than others.
		u := random.Float64()
		document := int(u * u * float64(m.Documents))
		key := uint64(r.workspace*m.Documents+document) + 1
		size := 2 + int(key*2654435761%23) // number of blocks of this document
		for i := 0; i < min(size, n); i++ {
			r.blocks = append(r.blocks, key<<20|uint64(i))
		}
		r.sharedTokens = int64(len(r.blocks)) * blockTokens
	}
	for i := len(r.blocks); i < n; i++ {
		r.blocks = append(r.blocks, 1<<62|uint64(r.id)<<20|uint64(i))
	}
}

// pickWeighted returns a random index of shares, with probabilities in proportion to the shares.
func pickWeighted(random *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	u := random.Float64() * sum
	for i, s := range shares {
		if u < s {
			return i
		}
		u -= s
	}
	return len(shares) - 1
}

// logUniform returns the quantile u of the log-uniform distribution on [lo, hi]: ranges with equal ratios of their
// limits have equal probabilities.
func logUniform(u, lo, hi float64) float64 { return lo * math.Exp(u*math.Log(hi/lo)) }

// boundedPareto returns the quantile u of the Pareto distribution with shape 1 on [lo, hi]: the density falls with the
// square of the value, as that of the longest prompts does.
func boundedPareto(u, lo, hi float64) float64 { return 1 / (1/lo - u*(1/lo-1/hi)) }

// quantileSequence is a low-discrepancy sequence of numbers in [0, 1). The numbers of each section of the sequence are
// spread evenly, so that each section of a run has the mix's mean prompt length.
type quantileSequence float64

// inverseGoldenRatio is the step of a quantileSequence, modulo 1.
const inverseGoldenRatio = 0.6180339887498949

// next returns the next number of the sequence.
func (q *quantileSequence) next() float64 {
	*q = quantileSequence(math.Mod(float64(*q)+inverseGoldenRatio, 1))
	return float64(*q)
}
