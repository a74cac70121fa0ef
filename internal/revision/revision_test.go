package revision

import "testing"

func TestLaterEraWins(t *testing.T) {
	for _, test := range []struct {
		a, b Revision
		want int
	}{
		{New(1, 70), New(1, 71), -1},
		{New(2, 40), New(1, 70), 1},
		{New(2, 40), New(2, 40), 0},
		{New(0, 1), Revision{}, 1},
	} {
		if got := test.a.Compare(test.b); got != test.want {
			t.Errorf("%v compared with %v: %d, want %d", test.a, test.b, got, test.want)
		}
	}
	if !New(0, 0).IsZero() || New(1, 0).IsZero() {
		t.Error("only era 0 with number 0 is no position")
	}
}
