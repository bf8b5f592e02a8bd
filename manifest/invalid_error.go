package manifest

import (
	"fmt"
	"strings"
)

// InvalidError is the error of a rejected manifest and lists its problems.
type InvalidError struct {
	Problems []Problem
	// Omitted is the number of problems beyond those in Problems.
	Omitted int
}

// Error returns the number of problems and one line for each.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+2)
	lines = append(lines, fmt.Sprintf("the manifest has %d problem(s):", len(e.Problems)+e.Omitted))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("  and %d further problem(s)", e.Omitted))
	}
	return strings.Join(lines, "\n")
}
