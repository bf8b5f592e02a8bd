package configuration

// Alarm names a condition that needs an operator.
type Alarm string

const (
	// AlarmConflictingDigest means that one version exists with two digests.
	AlarmConflictingDigest Alarm = "conflicting-digest"
	// AlarmInvalidManifest means that an accepted manifest can't be used; the previous one stays active.
	AlarmInvalidManifest Alarm = "invalid-manifest"
	// AlarmStaleTable means that the table has an older version than this instance, as after a restore.
	AlarmStaleTable Alarm = "stale-table"
)
