package steady

import (
	"testing"
	"time"
)

func TestNowGoesOn(t *testing.T) {
	first := Now()
	time.Sleep(2 * time.Millisecond)
	if passed := Now().Sub(first); passed < 2*time.Millisecond {
		t.Errorf("%v passed, want 2ms or more", passed)
	}
}
