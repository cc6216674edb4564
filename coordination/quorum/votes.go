package quorum

import "math"

// LossesLeft returns how many of the voters for which heard returns true may fall silent before
// no majority is left. It is negative if none is left now: the number of voters that are missing.
// While a voter is taking the place of another, both majorities count.
func (m *Members) LossesLeft(heard func(NodeID) bool) int {
	left := math.MaxInt
	for _, voters := range m.majorities() {
		n := 0
		for _, id := range voters {
			if heard(id) {
				n++
			}
		}
		left = min(left, n-len(voters)/2-1)
	}
	return left
}
