package quarantine

import "math/bits"

// crashSet is a set of crashes, by index.
type crashSet []uint64

const wordBits = 64

func (s *crashSet) add(i int) {
	for len(*s) <= i/wordBits {
		*s = append(*s, 0)
	}
	(*s)[i/wordBits] |= 1 << (i % wordBits)
}

func (s *crashSet) addAll(other crashSet) {
	for len(*s) < len(other) {
		*s = append(*s, 0)
	}
	for i, word := range other {
		(*s)[i] |= word
	}
}

func (s crashSet) has(i int) bool { return i/wordBits < len(s) && s[i/wordBits]&(1<<(i%wordBits)) != 0 }

func (s crashSet) len() int { return s.lenWithout(nil) }

// lenWithout returns the number of members that aren't in other.
func (s crashSet) lenWithout(other crashSet) int {
	n := 0
	for i, word := range s {
		if i < len(other) {
			word &^= other[i]
		}
		n += bits.OnesCount64(word)
	}
	return n
}
