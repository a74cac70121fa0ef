package document

import (
	"bytes"
	"fmt"
)

const headerForm = "// section %s, revision %d"

// Header returns the comment line that tells from which revision of a section a file starts.
func Header(section Section, revision uint64) string {
	return fmt.Sprintf(headerForm, section, revision)
}

// Base returns the section and revision that the first line of a file tells, and whether it does.
func Base(text []byte) (Section, uint64, bool) {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	var section Section
	var revision uint64
	fields := bytes.Fields(line)
	if len(fields) != 5 {
		return "", 0, false
	}
	section = Section(bytes.TrimSuffix(fields[2], []byte(",")))
	if _, err := fmt.Sscanf(string(fields[4]), "%d", &revision); err != nil {
		return "", 0, false
	}
	return section, revision, string(bytes.TrimSpace(line)) == Header(section, revision)
}
