package table

import "github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

// Condition is the condition under which a write takes effect. The zero value always holds.
type Condition struct {
	// Absent requires that the row does not exist. If it is set, the other fields are ignored.
	Absent bool
	// HasVersion requires that the row exists with version Version.
	HasVersion bool
	// Version is the required version if HasVersion is set.
	Version uint64
	// State, unless empty, requires that the row exists in this state.
	State string
	// Attempt, unless empty, requires that the row exists with this attempt ID.
	Attempt string
}

// Absent returns the condition that the row does not exist.
func Absent() Condition { return Condition{Absent: true} }

// VersionIs returns the condition that the row exists and has version v.
func VersionIs(v uint64) Condition { return Condition{HasVersion: true, Version: v} }

// AttemptIs returns the condition that the row was written by attempt.
func AttemptIs(attempt string) Condition { return Condition{Attempt: attempt} }

// StateIs returns the condition that the row is in state and was written by attempt.
func StateIs(state, attempt string) Condition { return Condition{State: state, Attempt: attempt} }

// Holds reports whether c holds for row, or for the absence of a row if exists is false.
func (c Condition) Holds(row Row, exists bool) bool {
	if c.Absent {
		return !exists
	}
	if c == (Condition{}) {
		return true
	}
	return exists && (!c.HasVersion || row.Version == c.Version) &&
		(c.State == "" || row.State == c.State) && (c.Attempt == "" || row.Attempt == c.Attempt)
}

// expression is a condition expression of the table service with its placeholders.
type expression struct {
	text   *string
	names  map[string]string
	values map[string]types.AttributeValue
}

// expression converts the condition; its text is nil if the condition always holds.
func (c Condition) expression() expression {
	if c == (Condition{}) {
		return expression{}
	}
	e := expression{text: new(string), names: map[string]string{}}
	if c.Absent {
		*e.text = "attribute_not_exists(#key)"
		e.names["#key"] = attributeKey
		return e
	}
	e.values = map[string]types.AttributeValue{}
	if c.HasVersion {
		e.requireEqual(attributeVersion, number(c.Version))
	}
	if c.State != "" {
		e.requireEqual(attributeState, text(c.State))
	}
	if c.Attempt != "" {
		e.requireEqual(attributeAttempt, text(c.Attempt))
	}
	return e
}

// requireEqual adds the condition that the attribute equals the value.
func (e *expression) requireEqual(attribute string, value types.AttributeValue) {
	if *e.text != "" {
		*e.text += " AND "
	}
	*e.text += "#" + attribute + " = :" + attribute
	e.names["#"+attribute] = attribute
	e.values[":"+attribute] = value
}
