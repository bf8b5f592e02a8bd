package manifest

import (
	"fmt"
	"strings"
)

// maxProblems bounds the report about a document that is wrong throughout.
const maxProblems = 1000

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

// problems collects problems while a document is read.
type problems struct {
	list    []Problem
	omitted int
}

func (p *problems) add(path, remedy, format string, values ...any) {
	if len(p.list) >= maxProblems {
		p.omitted++
		return
	}
	p.list = append(p.list, Problem{Path: path, Message: fmt.Sprintf(format, values...), Remedy: remedy})
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.list, Omitted: p.omitted}
}
