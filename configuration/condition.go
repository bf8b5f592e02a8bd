package configuration

// Condition is the precondition of a put.
type Condition struct {
	// Absent requires that the row doesn't exist.
	Absent bool
	// Version is the version that the row must have if Absent is false.
	Version uint64
	// Attempt, unless empty, is the attempt that must have written the row.
	Attempt string
}
