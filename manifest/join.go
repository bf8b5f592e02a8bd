package manifest

import (
	"fmt"
	"slices"
	"strings"
)

// Join decodes the sections of a manifest and validates the result; load returns a section body by its digest. The error
// is an *InvalidError if the manifest is invalid, and another one if a section can't be loaded or doesn't match its digest.
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
			return nil, fmt.Errorf("load section %s: the body does not match the digest %s", ref.Name, ref.Digest)
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

// add decodes the section with the given name into m and adds its problems to invalid.
func (m *Manifest) add(invalid *problems, name string, body []byte) {
	var err error
	switch {
	case name == sectionGeneral:
		var g generalSection
		err = decode(body, &g)
		m.Service, m.FinalDate, m.Limits, m.Engines = g.Service, g.FinalDate, g.Limits, g.Engines
	case name == sectionModels:
		err = decode(body, &m.Models)
	case name == sectionServices:
		err = decode(body, &m.Services)
	case strings.HasPrefix(name, sectionCustomersPrefix):
		var part []Customer
		err = decode(body, &part)
		m.Customers = append(m.Customers, part...)
	default:
		invalid.add(name, "remove the section", "unknown section")
	}
	if e, ok := err.(*InvalidError); ok {
		for _, p := range e.Problems {
			invalid.add(joinPath(name, p.Path), p.Remedy, "%s", p.Message)
		}
	}
}
