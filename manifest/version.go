package manifest

import "strconv"

// Version is the number of an accepted manifest of a deployment. The first is 1.
type Version uint64

// String returns the version in decimal digits.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }
