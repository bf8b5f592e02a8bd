// Package fault holds what the emulators share to inject faults while they run.
package fault

// Count says how many further requests a fault affects: 0 none, a negative number all.
type Count int

// Take reports whether the fault affects the present request, and counts it.
func (c *Count) Take() bool {
	if *c > 0 {
		*c--
		return true
	}
	return *c < 0
}
