package table

import (
	"regexp"
	"strings"
)

var (
	notExistsPattern = regexp.MustCompile(`^attribute_not_exists\((#\w+)\)$`)
	equalsPattern    = regexp.MustCompile(`^(#\w+) = (:\w+)$`)
)

// condition is a condition expression. It supports the terms attribute_not_exists(#name) and #name = :value, joined by
// AND.
type condition struct {
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attribute
}

// parse returns a function that evaluates the condition on the current item, which is nil if there is none.
func (c condition) parse() (func(item) bool, *apiError) {
	var terms []func(item) bool
	usedNames, usedValues := map[string]bool{}, map[string]bool{}
	if c.ConditionExpression != "" {
		for term := range strings.SplitSeq(c.ConditionExpression, " AND ") {
			f, err := c.term(term, usedNames, usedValues)
			if err != nil {
				return nil, err
			}
			terms = append(terms, f)
		}
	}
	// The protocol rejects names and values that the expression does not use.
	if len(usedNames) != len(c.ExpressionAttributeNames) || len(usedValues) != len(c.ExpressionAttributeValues) {
		return nil, validationError("unused expression attribute names or values")
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

func (c condition) term(term string, usedNames, usedValues map[string]bool) (func(item) bool, *apiError) {
	if m := notExistsPattern.FindStringSubmatch(term); m != nil {
		name, ok := c.ExpressionAttributeNames[m[1]]
		if !ok {
			return nil, validationError("undefined name " + m[1])
		}
		usedNames[m[1]] = true
		return func(i item) bool { _, exists := i[name]; return !exists }, nil
	}
	m := equalsPattern.FindStringSubmatch(term)
	if m == nil {
		return nil, validationError("unsupported condition expression: " + term)
	}
	name, named := c.ExpressionAttributeNames[m[1]]
	value, valued := c.ExpressionAttributeValues[m[2]]
	if !named || !valued || !value.valid() {
		return nil, validationError("undefined name or value in: " + term)
	}
	usedNames[m[1]], usedValues[m[2]] = true, true
	return func(i item) bool {
		a, exists := i[name]
		return exists && a.equal(value)
	}, nil
}
