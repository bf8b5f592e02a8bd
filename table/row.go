package table

import (
	"fmt"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

// The attributes of an item.
const (
	attributeKey     = "key"
	attributeBody    = "body"
	attributeVersion = "version"
	attributeAttempt = "attempt"
	attributeState   = "state"
)

// Row is one row of the table.
type Row struct {
	Key string
	// Body is JSON text.
	Body    []byte
	Version uint64
	// Attempt is the ID of the attempt that wrote the row, or empty for kinds of rows without attempts.
	Attempt string
	// State is the state of the row, or empty for kinds of rows without states.
	State string
}

func primaryKey(key string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{attributeKey: text(key)}
}

// toItem converts a row to an item of the table service. Empty Attempt and State are left out.
func toItem(r Row) map[string]types.AttributeValue {
	item := primaryKey(r.Key)
	item[attributeBody] = text(string(r.Body))
	item[attributeVersion] = number(r.Version)
	if r.Attempt != "" {
		item[attributeAttempt] = text(r.Attempt)
	}
	if r.State != "" {
		item[attributeState] = text(r.State)
	}
	return item
}

// fromItem converts an item of the table service to a row.
func fromItem(item map[string]types.AttributeValue) (Row, error) {
	row := Row{
		Key: stringValue(item[attributeKey]), Body: []byte(stringValue(item[attributeBody])),
		Attempt: stringValue(item[attributeAttempt]), State: stringValue(item[attributeState]),
	}
	if n, ok := item[attributeVersion].(*types.AttributeValueMemberN); ok {
		v, err := strconv.ParseUint(n.Value, 10, 64)
		if err != nil {
			return Row{}, fmt.Errorf("parse the version of the row: %w", err)
		}
		row.Version = v
	}
	return row, nil
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func stringValue(v types.AttributeValue) string {
	if s, ok := v.(*types.AttributeValueMemberS); ok {
		return s.Value
	}
	return ""
}
