package passes

import (
	"time"

	"github.com/turmericshunt/turmericshunt/internal/catalog"
)

// SampleEngine returns the figures of an engine like those on the users' platform.
func SampleEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 16, MemoryTokens: 315000, PassSteps: 51, Step: 850 * time.Microsecond,
		StepWriter: 4250 * time.Nanosecond, StepContext: 2850 * time.Nanosecond, ReadRate: 177000,
		PairsTime: 184 * time.Microsecond, ChunkTokens: 2048, EventTokens: 51, StepHop: 50 * time.Microsecond,
	}
}

// QuickEngine returns the figures of an engine that writes about four times as fast, for tests in real time.
func QuickEngine() *catalog.Engine {
	e := SampleEngine()
	e.Step = 200 * time.Microsecond
	e.StepHop = 0
	return e
}
