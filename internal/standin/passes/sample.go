package passes

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
)

// SampleEngine returns the parameters of an engine like those on the users' platform.
func SampleEngine() *catalog.EngineParams {
	return &catalog.EngineParams{
		Slots: 16, MemoryTokens: 315000, PassSteps: 51, Step: 850 * time.Microsecond,
		StepPerRequest: 4250 * time.Nanosecond, StepPerContext: 2850 * time.Nanosecond, PrefillRate: 177000,
		AttentionTime: 184 * time.Microsecond, ChunkTokens: 2048, EventTokens: 51, StepPerSplit: 50 * time.Microsecond,
	}
}

// FastDecodeEngine returns the parameters of an engine that decodes about four times as fast as SampleEngine, for
// tests that run in real time.
func FastDecodeEngine() *catalog.EngineParams {
	e := SampleEngine()
	e.Step = 200 * time.Microsecond
	e.StepPerSplit = 0
	return e
}
