package manifest

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"
)

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

func byID(a, b Customer) int { return cmp.Compare(a.ID, b.ID) }

// list keeps an absent list from being encoded as null, which the decoder rejects.
func list[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
