package membership

import (
	"math"

	"github.com/poplarwinch/poplarwinch"
)

// Merge takes over the records that are newer than the known ones.
func (m *Members) Merge(records []Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.merge(records, "")
}

func (m *Members) merge(records []Member, source poplarwinch.InstanceID) {
	changed := false
	for _, n := range records {
		switch {
		case n.ID == "" || n.FailureDomain != m.self.FailureDomain || n.State.rank() < 0:
		case n.Incarnation == math.MaxUint64: // cannot be refuted, and no instance reaches it
		case n.ID == m.self.ID:
			changed = m.refute(n) || changed
		default:
			changed = m.learn(n, source) || changed
		}
	}
	if changed {
		m.publish()
	}
}

// refute answers a record about this instance that is newer than its own or holds it for silent.
func (m *Members) refute(n Member) bool {
	if !n.supersedes(m.self) {
		return false
	}
	m.self.Incarnation = n.Incarnation + 1
	m.change(m.records[m.self.ID], m.self, "")
	return true
}

func (m *Members) learn(n Member, source poplarwinch.InstanceID) bool {
	r := m.records[n.ID]
	if r == nil {
		if !n.State.live() {
			return false // nothing to forget; keeps records past their retention from coming back
		}
		r = &record{}
		m.records[n.ID] = r
	} else if !n.supersedes(r.Member) {
		return r.noteManifest(n, source)
	}
	m.change(r, n, source)
	return true
}

// noteManifest takes over a newer manifest version, or any that the member reports itself.
func (r *record) noteManifest(n Member, source poplarwinch.InstanceID) bool {
	if n.Incarnation < r.Incarnation || n.ManifestVersion == r.ManifestVersion && (source != n.ID || n.ManifestDigest == r.ManifestDigest) ||
		n.ManifestVersion < r.ManifestVersion && source != n.ID {
		return false
	}
	r.ManifestVersion, r.ManifestDigest = n.ManifestVersion, n.ManifestDigest
	return true
}
