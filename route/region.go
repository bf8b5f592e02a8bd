package route

import "slices"

// Region is the name of a region; each failure domain is in one.
type Region string

// AllowsRegion reports whether a list of allowed regions allows servers in the region. An empty list allows all, also servers whose
// region is not known, which has no name.
func AllowsRegion(list []Region, region Region) bool {
	return len(list) == 0 || region != "" && slices.Contains(list, region)
}
