package drive

import (
	"math/rand/v2"
	"strconv"

	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
)

// Bound draws n requests and runs each alone on an idle engine in the failure domain of its entry host. The engine has
// four times the usual memory, so that it also takes prompts larger than an engine's memory. The times in the result
// are lower limits for every policy.
func Bound(seed uint64, m Mix, n int) *Result {
	random := rand.New(rand.NewPCG(seed, 1))
	var quantiles [Lengths]quantileSequence
	result := newResult()
	for id := range n {
		req := m.draw(random, &quantiles, id)
		simulator := newEngineSimulator()
		simulator.MemoryBytes *= 4
		job := batch.Job{ID: strconv.Itoa(id), PromptTokens: req.promptTokens, OutputTokens: req.outputTokens}
		if simulator.Submit(start, job) != nil {
			continue
		}
		class := &result.Class[req.length]
		class.Arrived++
		for {
			next, ok := simulator.Next()
			if !ok {
				break
			}
			for _, ev := range simulator.Advance(next) {
				if ev.Kind == batch.EventFirstToken {
					recordDuration(class.firstToken, ev.At.Sub(start)+2*intraDomainDelay)
				}
			}
		}
		class.Completed++
	}
	return result
}

// newEngineSimulator returns a simulated engine without load.
func newEngineSimulator() *batch.Engine {
	return &batch.Engine{
		PrefillPerSecond: prefillPerSecond, StepTime: stepTime, SequenceTime: sequenceTime,
		ContextTime: contextTime, ChunkTokens: chunkTokens, BlockTokens: blockTokens,
		KVBytesPerToken: kvBytesPerToken, MemoryBytes: memoryTokens * kvBytesPerToken,
	}
}
