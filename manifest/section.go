package manifest

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
