package manifest

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
)

// Split returns the sections of a manifest, sorted by name. Customer sections without customers are omitted. Customers are
// sorted by id, so that the order in which a document lists them doesn't change any digest.
func Split(m *Manifest) ([]Section, error) {
	parts := map[string]any{
		sectionGeneral:  generalSection{Service: m.Service, FinalDate: m.FinalDate, Limits: m.Limits, Engines: m.Engines},
		sectionModels:   emptyIfNil(m.Models),
		sectionServices: emptyIfNil(m.Services),
	}
	buckets := map[string][]Customer{}
	for _, c := range m.Customers {
		hash := sha256.Sum256([]byte(c.ID))
		name := fmt.Sprintf("%s%02x", sectionCustomersPrefix, int(hash[0])%customerSectionCount)
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

func byID(a, b Customer) int { return cmp.Compare(a.ID, b.ID) }

// emptyIfNil replaces a nil slice by an empty one, since nil would be encoded as null, which the decoder rejects.
func emptyIfNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
