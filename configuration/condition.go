package configuration

// Condition says what must hold for a put to take effect.
type Condition struct {
	// Absent requires that the row doesn't exist.
	Absent bool
	// Version is the version that the row must have if Absent is false.
	Version uint64
}
