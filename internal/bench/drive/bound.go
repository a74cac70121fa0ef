package drive

import (
	"math/rand/v2"
	"strconv"

	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
)

// Bound draws n requests and runs each alone on an idle engine next to its entry host.
// A prompt larger than an engine's memory runs on one engine with more of it. No policy can be faster.
func Bound(seed uint64, m Mix, n int) *Result {
	random := rand.New(rand.NewPCG(seed, 1))
	var quantiles [Lengths]quantile
	result := newResult()
	for id := range n {
		req := m.draw(random, &quantiles, id)
		e := newBatch()
		e.MemoryBytes *= 4
		job := batch.Job{ID: strconv.Itoa(id), PromptTokens: req.prompt, OutputTokens: req.output}
		if e.Submit(start, job) != nil {
			continue
		}
		c := &result.Class[req.length]
		c.Arrived++
		for {
			next, ok := e.Next()
			if !ok {
				break
			}
			for _, ev := range e.Advance(next) {
				if ev.Kind == batch.EventFirst {
					record(c.first, ev.At.Sub(start)+2*insideDelay)
				}
			}
		}
		c.Completed++
	}
	return result
}

func newBatch() *batch.Engine {
	return &batch.Engine{
		PrefillPerSecond: prefillPerSecond, StepTime: stepTime, SequenceTime: sequenceTime,
		ContextTime: contextTime, ChunkTokens: chunkTokens, BlockTokens: blockTokens,
		KVBytesPerToken: kvBytesPerToken, MemoryBytes: memoryTokens * kvBytesPerToken,
	}
}
