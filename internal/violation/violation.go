package violation

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// FixSeed sets rapid's flags so that each run generates the same 500 cases from the same seed and writes no file for
// a failed case. Test packages call it from TestMain.
func FixSeed() error {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		return err
	}
	if err := flag.Set("rapid.checks", "500"); err != nil {
		return err
	}
	return flag.Set("rapid.nofailfile", "true")
}

// FindsCounterexample reports whether rapid finds a case that violates property. It does not shrink that case and
// does not fail t. It changes a flag of rapid while it runs, so it must not run in parallel with checks of other
// properties.
func FindsCounterexample(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	shrink := flag.Lookup("rapid.shrinktime").Value
	before := shrink.String()
	defer shrink.Set(before) //nolint:errcheck // the old value is valid
	if err := shrink.Set("0s"); err != nil {
		t.Fatal(err)
	}
	r := &recorder{TB: t}
	rapid.Check(r, property)
	return r.failed
}

// Check runs rapid.Check from a testing/synctest bubble. It hides the Deadline method of t from rapid, because a test in
// a bubble must not call it.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(struct{ rapid.TB }{t}, property)
}

// recorder is a rapid.TB that records that a property failed instead of failing the test, and discards log output.
type recorder struct {
	rapid.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fatalf(string, ...any) { r.failed = true }
func (r *recorder) Fatal(...any)          { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) FailNow()              { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}
