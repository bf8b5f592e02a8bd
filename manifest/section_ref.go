package manifest

// SectionRef refers to a section by name and digest.
type SectionRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Refs returns the references to sections, in the same order.
func Refs(sections []Section) []SectionRef {
	refs := make([]SectionRef, len(sections))
	for i, s := range sections {
		refs[i] = SectionRef{Name: s.Name, Digest: s.Digest}
	}
	return refs
}
