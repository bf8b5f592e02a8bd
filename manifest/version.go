package manifest

import "strconv"

// Version numbers accepted manifests of one deployment; the first is 1.
type Version uint64

// String returns the version in decimal digits.
func (v Version) String() string { return strconv.FormatUint(uint64(v), 10) }
