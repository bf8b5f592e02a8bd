package manifest

import (
	"fmt"
	"slices"
	"strings"
)

// Join parses and validates a manifest from its sections; load returns the body of a section by its digest. The
// error is an *InvalidError when the sections are complete but don't form a valid manifest.
func Join(refs []SectionRef, load func(digest string) ([]byte, error)) (*Manifest, error) {
	m := &Manifest{}
	var invalid problems
	seen := map[string]bool{}
	for _, ref := range refs {
		if seen[ref.Name] {
			invalid.add(ref.Name, "list each section once", "the section occurs more than once")
			continue
		}
		seen[ref.Name] = true
		body, err := load(ref.Digest)
		if err != nil {
			return nil, fmt.Errorf("load section %s: %w", ref.Name, err)
		}
		if DigestOf(body) != ref.Digest {
			return nil, fmt.Errorf("load section %s: the body does not have the digest %s", ref.Name, ref.Digest)
		}
		m.add(&invalid, ref.Name, body)
	}
	for _, name := range []string{sectionGeneral, sectionModels, sectionServices} {
		if !seen[name] {
			invalid.add(name, "add the section", "the section is missing")
		}
	}
	if err := invalid.err(); err != nil {
		return nil, err
	}
	slices.SortFunc(m.Customers, byID)
	return m, m.Validate()
}

func (m *Manifest) add(invalid *problems, name string, body []byte) {
	var err error
	switch {
	case name == sectionGeneral:
		var g general
		err = decode(body, &g)
		m.Service, m.FinalDate, m.Limits, m.Engines = g.Service, g.FinalDate, g.Limits, g.Engines
	case name == sectionModels:
		err = decode(body, &m.Models)
	case name == sectionServices:
		err = decode(body, &m.Services)
	case strings.HasPrefix(name, sectionCustomers):
		var part []Customer
		err = decode(body, &part)
		m.Customers = append(m.Customers, part...)
	default:
		invalid.add(name, "remove the section", "unknown section")
	}
	if e, ok := err.(*InvalidError); ok {
		for _, p := range e.Problems {
			invalid.add(join(name, p.Path), p.Remedy, "%s", p.Message)
		}
	}
}
