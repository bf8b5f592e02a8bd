package membership

import "github.com/poplarwinch/poplarwinch"

// Member is the record of one instance. Only the instance itself increments its incarnation.
type Member struct {
	ID              poplarwinch.InstanceID
	Address         string // HOST:PORT of the peer listener
	FailureDomain   poplarwinch.FailureDomain
	Incarnation     uint64
	State           State
	ManifestVersion uint64
	ManifestDigest  string
}

// supersedes reports whether m is newer than other, a record of the same instance.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.State.rank() > other.State.rank()
}
