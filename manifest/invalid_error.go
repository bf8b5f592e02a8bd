package manifest

import (
	"fmt"
	"strings"
)

// InvalidError lists the problems of a rejected manifest.
type InvalidError struct {
	Problems []Problem
	// Omitted counts further problems that the list leaves out.
	Omitted int
}

// Error returns one line for each problem.
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
