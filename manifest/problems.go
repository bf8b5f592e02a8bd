package manifest

import "fmt"

// maxProblems bounds the report about a document that is wrong throughout.
const maxProblems = 1000

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
