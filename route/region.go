package route

import (
	"fmt"
	"slices"
)

// Region is the name of a region; each failure domain is in one.
type Region string

// AllowsRegion reports whether a list of allowed regions allows servers in the region. An empty list allows all, also servers whose
// region is not known, which has no name.
func AllowsRegion(list []Region, region Region) bool {
	return len(list) == 0 || region != "" && slices.Contains(list, region)
}

// RegionsKey returns a string that identifies a list of allowed regions; it is empty for an empty list.
func RegionsKey(list []Region) string {
	if len(list) == 0 {
		return ""
	}
	return fmt.Sprintf("%q", list)
}
