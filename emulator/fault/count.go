package fault

// Count is the number of further requests that a fault affects; a negative number means all.
type Count int

// Take reports whether the fault affects the current request, and counts the request if so.
func (c *Count) Take() bool {
	if *c > 0 {
		*c--
		return true
	}
	return *c < 0
}
