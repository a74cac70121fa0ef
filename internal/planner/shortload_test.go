package planner

import (
	"testing"
	"time"
)

// Guards against SHORT: prompts that need many engines were charged for those that other prompts had taken from the short ones, and the
// more of it the longer they are.
func TestLongPromptIsChargedForItsOwnEnginesOnly(t *testing.T) {
	l := shortLoad{servers: 20, busy: 12, spare: 10, lossPerSecond: 1}
	for _, test := range []struct {
		name    string
		busy    int
		engines int
		want    float64
	}{
		{"others leave enough", 2, 4, 0},
		{"it takes the last ones", 8, 4, 0.2},
		{"others have taken some", 12, 4, 0.4},
		{"others have taken all", 20, 4, 0},
	} {
		l.busy = test.busy
		if got := l.loss(test.engines, time.Second); got < test.want-1e-9 || got > test.want+1e-9 {
			t.Errorf("%s: loss %.2f, want %.2f", test.name, got, test.want)
		}
	}
}
