package document

import (
	"bytes"
	"fmt"
)

// headerFormat is the format of the first line of an exported section.
const headerFormat = "// section %s, revision %d"

// Header returns the comment line that states the section and the revision on which an edited file is based.
func Header(section Section, revision uint64) string {
	return fmt.Sprintf(headerFormat, section, revision)
}

// ParseHeader returns the section and revision in the first line of a file, and reports whether that line is a valid
// Header. The section and revision are not to be used otherwise.
func ParseHeader(text []byte) (Section, uint64, bool) {
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
