package configuration

// Alarm is a condition that requires an operator's attention.
type Alarm string

const (
	// AlarmConflictingDigest is raised when the active version is seen with a different digest.
	AlarmConflictingDigest Alarm = "conflicting-digest"
	// AlarmInvalidManifest is raised when the manifest row, a record or a manifest is invalid; the previous manifest stays
	// active.
	AlarmInvalidManifest Alarm = "invalid-manifest"
	// AlarmStaleTable is raised when the table holds no version or an older one than this instance, as after a restore
	// from a backup.
	AlarmStaleTable Alarm = "stale-table"
	// AlarmLostCommit is raised when a confirmed commit is no longer part of the current manifest, since the table was restored
	// from a backup and another commit got its version.
	AlarmLostCommit Alarm = "lost-commit"
)
