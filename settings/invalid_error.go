package settings

import (
	"fmt"
	"strings"
)

// InvalidError lists the problems of rejected settings.
type InvalidError struct {
	Path     string
	Problems []Problem
}

// Error returns a heading and one line for each problem.
func (e *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("the settings in %s have %d problem(s):", e.Path, len(e.Problems))}
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}
