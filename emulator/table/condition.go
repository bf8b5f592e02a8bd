package table

import (
	"regexp"
	"strings"
)

var (
	absence  = regexp.MustCompile(`^attribute_not_exists\((#\w+)\)$`)
	equality = regexp.MustCompile(`^(#\w+) = (:\w+)$`)
)

// condition is a condition expression: terms attribute_not_exists(#name) and #name = :value, joined by AND.
type condition struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attribute
}

// parse returns a function that evaluates the condition for the current item, which is nil if there is none.
func (c condition) parse() (func(item) bool, *apiError) {
	var terms []func(item) bool
	names, values := map[string]bool{}, map[string]bool{}
	if c.ConditionExpression != "" {
		for term := range strings.SplitSeq(c.ConditionExpression, " AND ") {
			f, err := c.term(term, names, values)
			if err != nil {
				return nil, err
			}
			terms = append(terms, f)
		}
	}
	// The protocol rejects names and values that the expression does not use.
	if len(names) != len(c.ExpressionAttributeNames) || len(values) != len(c.ExpressionAttributeValues) {
		return nil, validation("unused expression attribute names or values")
	}
	return func(i item) bool {
		for _, f := range terms {
			if !f(i) {
				return false
			}
		}
		return true
	}, nil
}

func (c condition) term(term string, names, values map[string]bool) (func(item) bool, *apiError) {
	if m := absence.FindStringSubmatch(term); m != nil {
		name, ok := c.ExpressionAttributeNames[m[1]]
		if !ok {
			return nil, validation("undefined name " + m[1])
		}
		names[m[1]] = true
		return func(i item) bool { _, exists := i[name]; return !exists }, nil
	}
	m := equality.FindStringSubmatch(term)
	if m == nil {
		return nil, validation("unsupported condition expression: " + term)
	}
	name, named := c.ExpressionAttributeNames[m[1]]
	value, valued := c.ExpressionAttributeValues[m[2]]
	if !named || !valued || !value.valid() {
		return nil, validation("undefined name or value in: " + term)
	}
	names[m[1]], values[m[2]] = true, true
	return func(i item) bool {
		a, exists := i[name]
		return exists && a.equal(value)
	}, nil
}
