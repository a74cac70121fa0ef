package drive

import (
	"math"
	"math/rand/v2"
	"time"
)

// Length classes of prompts.
const (
	LengthShort   Length = iota // 1,000 to 4,000 tokens
	LengthMiddle                // to 32,000
	LengthLong                  // to 100,000
	LengthLargest               // to 1,000,000
	Lengths                     // number of classes
)

// maxOutputTokens is the answer length that each request allows.
const maxOutputTokens = 512

const leastOutputTokens = 50

type (
	// Length is a class of prompt lengths.
	Length int

	// Mix draws requests.
	Mix struct {
		Share      [Lengths]float64 // probability of each class
		Workspaces []float64        // probability of each workspace
		Shared     float64          // probability that a prompt begins with a document that others use too
		Documents  int              // for each workspace
	}

	// request is one drawn request.
	request struct {
		id        int
		length    Length
		workspace int
		prompt    int64
		output    int64
		shared    int64 // leading tokens of a shared document
		blocks    []uint64
		deadline  time.Duration
	}
)

var lengthBounds = [Lengths + 1]float64{1_000, 4_000, 32_000, 100_000, 1_000_000}

var lengthNames = [Lengths]string{"1-4k", "4-32k", "32-100k", "100k-1M"}

// Time limits of the classes, from arrival to the last token.
var lengthDeadlines = [Lengths]time.Duration{20 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute}

// String returns the bounds of the class.
func (l Length) String() string { return lengthNames[l] }

// DefaultMix has one prompt in fifty above 100,000 tokens.
func DefaultMix() Mix {
	return Mix{
		Share:      [Lengths]float64{0.75, 0.18, 0.05, 0.02},
		Workspaces: []float64{0.3, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05},
	}
}

// Without returns the mix without one class; the rate of the others must be scaled by the caller.
func (m Mix) Without(l Length) Mix {
	m.Share[l] = 0
	return m
}

// total is the sum of the classes' shares, 1 unless classes were taken out.
func (m Mix) total() float64 {
	sum := 0.0
	for _, s := range m.Share {
		sum += s
	}
	return sum
}

// meanTokens is the mean prompt length of a whole mix.
func (m Mix) meanTokens() float64 {
	mean := 0.0
	for i, s := range m.Share {
		lo, hi := lengthBounds[i], lengthBounds[i+1]
		if Length(i) == LengthLargest {
			mean += s * math.Log(hi/lo) / (1/lo - 1/hi)
		} else {
			mean += s * (hi - lo) / math.Log(hi/lo)
		}
	}
	return mean / m.total()
}

func (m Mix) draw(random *rand.Rand, quantiles *[Lengths]quantile, id int) *request {
	r := &request{id: id, workspace: pick(random, m.Workspaces)}
	r.length = Length(pick(random, m.Share[:]))
	lo, hi := lengthBounds[r.length], lengthBounds[r.length+1]
	if r.length == LengthLargest {
		r.prompt = int64(tail(quantiles[r.length].next(), lo, hi))
	} else {
		r.prompt = int64(between(quantiles[r.length].next(), lo, hi))
	}
	r.output = int64(between(random.Float64(), leastOutputTokens, maxOutputTokens))
	r.deadline = lengthDeadlines[r.length]
	if m.Documents > 0 {
		m.addBlocks(random, r)
	}
	return r
}

// addBlocks makes the prompt begin with a shared document or with text of its own.
func (m Mix) addBlocks(random *rand.Rand, r *request) {
	n := min(int(r.prompt/blockTokens), maxBlocks)
	if random.Float64() < m.Shared {
		// Squaring makes some documents much more popular than others.
		u := random.Float64()
		document := int(u * u * float64(m.Documents))
		key := uint64(r.workspace*m.Documents+document) + 1
		size := 2 + int(key*2654435761%23) // blocks of this document
		for i := 0; i < min(size, n); i++ {
			r.blocks = append(r.blocks, key<<20|uint64(i))
		}
		r.shared = int64(len(r.blocks)) * blockTokens
	}
	for i := len(r.blocks); i < n; i++ {
		r.blocks = append(r.blocks, 1<<62|uint64(r.id)<<20|uint64(i))
	}
}

func pick(random *rand.Rand, shares []float64) int {
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

// between is a quantile of a range with equal weight for equal ratios.
func between(u, lo, hi float64) float64 { return lo * math.Exp(u*math.Log(hi/lo)) }

// tail is a quantile of a range with a density that falls with the square, as that of the longest prompts does.
func tail(u, lo, hi float64) float64 { return 1 / (1/lo - u*(1/lo-1/hi)) }

// quantile runs evenly through the numbers from 0 to 1, so that each stretch of a run has the mix's mean length.
type quantile float64

const goldenRatio = 0.6180339887498949

func (q *quantile) next() float64 {
	*q = quantile(math.Mod(float64(*q)+goldenRatio, 1))
	return float64(*q)
}
