package table

import "github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

// Condition decides whether a write takes effect. Its zero value always holds.
type Condition struct {
	// Absent requires that the row does not exist. The other fields are ignored then.
	Absent bool
	// HasVersion requires that the row exists with version Version.
	HasVersion bool
	Version    uint64
	// State requires that the row exists in this state, unless empty.
	State string
	// Attempt requires that the row exists with this attempt id, unless empty.
	Attempt string
}

// Absent returns the condition that the row does not exist.
func Absent() Condition { return Condition{Absent: true} }

// VersionIs returns the condition that the row exists with version v.
func VersionIs(v uint64) Condition { return Condition{HasVersion: true, Version: v} }

// AttemptIs returns the condition that the row was written by attempt.
func AttemptIs(attempt string) Condition { return Condition{Attempt: attempt} }

// StateIs returns the condition that the row is in state and was written by attempt.
func StateIs(state, attempt string) Condition { return Condition{State: state, Attempt: attempt} }

// Holds reports whether c holds for row; exists says whether there is one.
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

type expression struct {
	text   *string
	names  map[string]string
	values map[string]types.AttributeValue
}

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
		e.equal(attributeVersion, number(c.Version))
	}
	if c.State != "" {
		e.equal(attributeState, text(c.State))
	}
	if c.Attempt != "" {
		e.equal(attributeAttempt, text(c.Attempt))
	}
	return e
}

func (e *expression) equal(attribute string, value types.AttributeValue) {
	if *e.text != "" {
		*e.text += " AND "
	}
	*e.text += "#" + attribute + " = :" + attribute
	e.names["#"+attribute] = attribute
	e.values[":"+attribute] = value
}
