package manifest

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// customerSections is the number of parts into which customers are split by the hash of their id. With 4,400
// customers a part has about 70 of them, so a change to one customer moves about 1/64 of the manifest.
const customerSections = 64

const (
	sectionGeneral   = "general"
	sectionModels    = "models"
	sectionServices  = "services"
	sectionCustomers = "customers-" // followed by two hex digits
)

// Section is a part of a manifest in canonical JSON, stored under its digest.
type Section struct {
	Name   string
	Digest string
	Body   []byte
}

// SectionRef names a section and its digest.
type SectionRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// general holds the fields of a manifest that no other section has.
type general struct {
	Service   string  `json:"service"`
	FinalDate Date    `json:"final-date"`
	Limits    Limits  `json:"limits"`
	Engines   Engines `json:"engines"`
}

// Split returns the sections of a manifest in the order of their names. Parts without customers are left out, and
// customers are sorted by id, so the order in which a document lists them does not change any digest.
func Split(m *Manifest) ([]Section, error) {
	parts := map[string]any{
		sectionGeneral:  general{Service: m.Service, FinalDate: m.FinalDate, Limits: m.Limits, Engines: m.Engines},
		sectionModels:   list(m.Models),
		sectionServices: list(m.Services),
	}
	buckets := map[string][]Customer{}
	for _, c := range m.Customers {
		hash := sha256.Sum256([]byte(c.ID))
		name := fmt.Sprintf("%s%02x", sectionCustomers, int(hash[0])%customerSections)
		buckets[name] = append(buckets[name], c)
	}
	for name, bucket := range buckets {
		slices.SortFunc(bucket, byID)
		parts[name] = bucket
	}
	sections := make([]Section, 0, len(parts))
	for name, part := range parts {
		body, err := json.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("encode section %s: %w", name, err)
		}
		sections = append(sections, Section{Name: name, Digest: DigestOf(body), Body: body})
	}
	slices.SortFunc(sections, func(a, b Section) int { return cmp.Compare(a.Name, b.Name) })
	return sections, nil
}

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

// DigestOf returns the SHA-256 digest of a section's body in hex digits.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Digest returns the digest of a manifest, which covers the names and digests of its sections. The order of refs
// does not matter.
func Digest(refs []SectionRef) string {
	lines := make([]string, len(refs))
	for i, ref := range refs {
		lines[i] = ref.Name + " " + ref.Digest + "\n"
	}
	slices.Sort(lines)
	return DigestOf([]byte(strings.Join(lines, "")))
}

// Refs returns the names and digests of sections.
func Refs(sections []Section) []SectionRef {
	refs := make([]SectionRef, len(sections))
	for i, s := range sections {
		refs[i] = SectionRef{Name: s.Name, Digest: s.Digest}
	}
	return refs
}

func byID(a, b Customer) int { return cmp.Compare(a.ID, b.ID) }

// list keeps an absent list from being encoded as null, which the decoder rejects.
func list[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
