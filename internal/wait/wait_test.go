package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	tests := []struct {
		name  string
		d     time.Duration
		limit time.Duration // timeout of the context
		want  time.Duration
	}{
		{"duration passes first", time.Second, time.Minute, time.Second},
		{"context is done first", time.Minute, time.Second, time.Second},
		{"negative duration", -time.Second, time.Second, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tc.limit)
				defer cancel()
				began := time.Now()
				For(ctx, tc.d)
				if got := time.Since(began); got != tc.want {
					t.Errorf("waited %v, want %v", got, tc.want)
				}
			})
		})
	}
}
