package manifest

// SectionRef names a section and its digest.
type SectionRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Refs returns the names and digests of sections.
func Refs(sections []Section) []SectionRef {
	refs := make([]SectionRef, len(sections))
	for i, s := range sections {
		refs[i] = SectionRef{Name: s.Name, Digest: s.Digest}
	}
	return refs
}
