package manifest

import "fmt"

// maxProblems is the maximum number of problems that an InvalidError lists. It bounds the report on a document that is
// invalid throughout.
const maxProblems = 1000

// problems collects the problems of a document.
type problems struct {
	list    []Problem
	omitted int
}

func (p *problems) add(path, remedy, format string, args ...any) {
	if len(p.list) >= maxProblems {
		p.omitted++
		return
	}
	p.list = append(p.list, Problem{Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// err returns an *InvalidError with the collected problems, or nil if there are none.
func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return &InvalidError{Problems: p.list, Omitted: p.omitted}
}
