package table

import (
	"fmt"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
)

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
	// Attempt identifies the writer of the row; empty if the row's kind has no use for it.
	Attempt string
	// State is the state of the row; empty if the row's kind has no use for it.
	State string
}

func primaryKey(key string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{attributeKey: text(key)}
}

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

func fromItem(item map[string]types.AttributeValue) (Row, error) {
	r := Row{
		Key: textOf(item[attributeKey]), Body: []byte(textOf(item[attributeBody])),
		Attempt: textOf(item[attributeAttempt]), State: textOf(item[attributeState]),
	}
	if n, ok := item[attributeVersion].(*types.AttributeValueMemberN); ok {
		v, err := strconv.ParseUint(n.Value, 10, 64)
		if err != nil {
			return Row{}, fmt.Errorf("version of row: %w", err)
		}
		r.Version = v
	}
	return r, nil
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func textOf(v types.AttributeValue) string {
	if s, ok := v.(*types.AttributeValueMemberS); ok {
		return s.Value
	}
	return ""
}
