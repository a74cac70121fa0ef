package document

import "github.com/pmezard/go-difflib/difflib"

const diffContextLines = 3

// Diff returns a unified diff of two section bodies, each formatted with one value per line. It returns "" if they are
// equal.
func Diff(before, after []byte) string {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        lines(before),
		B:        lines(after),
		FromFile: "before",
		ToFile:   "after",
		Context:  diffContextLines,
	})
	if err != nil {
		return err.Error()
	}
	return text
}

// lines returns the formatted lines of body, each with its line break; it returns nil if body is empty.
func lines(body []byte) []string {
	if len(body) == 0 {
		return nil
	}
	split := difflib.SplitLines(string(Indent(body)))
	return split[:len(split)-1] // SplitLines appends an empty line after the last line break
}
