package violation

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// Fix makes rapid repeat the same cases in each run; test packages call it from TestMain.
func Fix() error {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		return err
	}
	if err := flag.Set("rapid.checks", "500"); err != nil {
		return err
	}
	return flag.Set("rapid.nofailfile", "true")
}

// Found reports whether rapid finds a case that breaks property; it must not run beside other properties.
func Found(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	shrink := flag.Lookup("rapid.shrinktime").Value
	before := shrink.String()
	defer shrink.Set(before) //nolint:errcheck // it was valid before
	if err := shrink.Set("0s"); err != nil {
		t.Fatal(err)
	}
	r := &recorder{TB: t}
	rapid.Check(r, property)
	return r.failed
}

// Check is rapid.Check for tests in a bubble of testing/synctest, which may not ask for the test's deadline.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(struct{ rapid.TB }{t}, property)
}

// recorder notes failures instead of failing the test.
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
