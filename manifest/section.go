package manifest

// customerSectionCount is the number of sections over which customers are distributed by the hash of their id. With 4,400
// customers a section has about 70 of them, so a change to one customer transfers about 1/64 of the manifest.
const customerSectionCount = 64

// Names of sections. Names with sectionCustomersPrefix end in two hex digits.
const (
	sectionGeneral         = "general"
	sectionModels          = "models"
	sectionServices        = "services"
	sectionCustomersPrefix = "customers-"
)

// Section is a part of a manifest in canonical JSON. It is stored under its digest.
type Section struct {
	Name   string
	Digest string
	Body   []byte
}
