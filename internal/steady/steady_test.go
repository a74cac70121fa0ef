package steady

import (
	"testing"
	"time"
)

func TestNowAdvances(t *testing.T) {
	first := Now()
	time.Sleep(2 * time.Millisecond)
	if elapsed := Now().Sub(first); elapsed < 2*time.Millisecond {
		t.Errorf("clock advanced by %v, want 2ms or more", elapsed)
	}
}
