package membership

import (
	"math"

	"github.com/poplarwinch/poplarwinch"
)

// Merge stores the records that supersede the known ones.
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
		case n.Incarnation == math.MaxUint64: // could not be refuted; no instance uses this value
		case n.ID == m.self.ID:
			changed = m.refute(n) || changed
		default:
			changed = m.mergeMember(n, source) || changed
		}
	}
	if changed {
		m.publish()
	}
}

// refute raises this instance's incarnation above that of a record that supersedes its own, such as a
// suspicion. It reports whether the own record changed.
func (m *Members) refute(update Member) bool {
	if !update.supersedes(m.self) {
		return false
	}
	m.self.Incarnation = update.Incarnation + 1
	m.setRecord(m.records[m.self.ID], m.self, "")
	return true
}

func (m *Members) mergeMember(update Member, source poplarwinch.InstanceID) bool {
	known := m.records[update.ID]
	if known == nil {
		if !update.State.live() {
			return false // not needed, and would bring back records past their retention
		}
		known = &record{}
		m.records[update.ID] = known
	} else if !update.supersedes(known.Member) {
		return known.mergeManifest(update, source)
	}
	m.setRecord(known, update, source)
	return true
}

// mergeManifest stores a newer manifest version, or any version that the member itself reports. It
// reports whether the record changed.
func (r *record) mergeManifest(update Member, source poplarwinch.InstanceID) bool {
	if update.Incarnation < r.Incarnation || update.ManifestVersion == r.ManifestVersion && (source != update.ID || update.ManifestDigest == r.ManifestDigest) ||
		update.ManifestVersion < r.ManifestVersion && source != update.ID {
		return false
	}
	r.ManifestVersion, r.ManifestDigest = update.ManifestVersion, update.ManifestDigest
	return true
}
