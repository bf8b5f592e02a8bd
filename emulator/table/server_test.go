package table_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
	"github.com/poplarwinch/poplarwinch/emulator/table"
)

type values = map[string]types.AttributeValue

var tableName = aws.String("poplarwinch")

func startServer(t *testing.T, opts ...table.Option) (*table.Server, *dynamodb.Client, string) {
	t.Helper()
	s := table.New(opts...)
	h := httptest.NewServer(s)
	t.Cleanup(func() {
		s.Close()
		h.Close()
	})
	return s, dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(h.URL), Region: "local", Retryer: aws.NopRetryer{},
		Credentials: credentials.NewStaticCredentialsProvider("id", "secret", ""),
	}), h.URL
}

func item(key, body string) values {
	return values{"key": &types.AttributeValueMemberS{Value: key}, "body": &types.AttributeValueMemberS{Value: body}}
}

func body(t *testing.T, c *dynamodb.Client, key string, consistent bool) string {
	t.Helper()
	out, err := c.GetItem(context.Background(), &dynamodb.GetItemInput{
		TableName: tableName, Key: values{"key": &types.AttributeValueMemberS{Value: key}}, ConsistentRead: &consistent,
	})
	if err != nil {
		t.Fatal(err)
	}
	if b, ok := out.Item["body"].(*types.AttributeValueMemberS); ok {
		return b.Value
	}
	return ""
}

func errorCode(err error) string {
	var e smithy.APIError
	if errors.As(err, &e) {
		return e.ErrorCode()
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// If the emulator accepted an expression that it does not evaluate, a conditional write would become unconditional.
func TestRejectsUnsupportedConditions(t *testing.T) {
	_, c, _ := startServer(t)
	one := values{":one": &types.AttributeValueMemberN{Value: "1"}}
	for _, test := range []struct {
		text   string
		names  map[string]string
		values values
	}{
		{"attribute_not_exists(key)", nil, nil},
		{"attribute_exists(#key)", map[string]string{"#key": "key"}, nil},
		{"attribute_not_exists(#other)", map[string]string{"#key": "key"}, nil},
		{"#version > :one", map[string]string{"#version": "version"}, one},
		{"#version = :one OR attribute_not_exists(#version)", map[string]string{"#version": "version"}, one},
		{"#version = :two", map[string]string{"#version": "version"}, one},
		{"attribute_not_exists(#key)", map[string]string{"#key": "key", "#unused": "unused"}, nil},
	} {
		_, err := c.PutItem(context.Background(), &dynamodb.PutItemInput{
			TableName: tableName, Item: item("k", "{}"), ConditionExpression: aws.String(test.text),
			ExpressionAttributeNames: test.names, ExpressionAttributeValues: test.values,
		})
		if errorCode(err) != "ValidationException" {
			t.Errorf("%s: %v, want ValidationException", test.text, err)
		}
	}
	if b := body(t, c, "k", true); b != "" {
		t.Errorf("rejected writes left body %q", b)
	}
}

// A transaction must be applied completely or not at all, and only once per token. Otherwise tests would not detect
// callers that repeat or split a transaction.
func TestTransactions(t *testing.T) {
	_, c, _ := startServer(t)
	ctx := context.Background()
	put := func(key, body string) types.TransactWriteItem {
		return types.TransactWriteItem{Put: &types.Put{
			TableName: tableName, Item: item(key, body), ConditionExpression: aws.String("attribute_not_exists(#key)"),
			ExpressionAttributeNames: map[string]string{"#key": "key"},
		}}
	}
	write := func(token string, items ...types.TransactWriteItem) string {
		_, err := c.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{ClientRequestToken: &token, TransactItems: items})
		return errorCode(err)
	}
	remove := types.TransactWriteItem{Delete: &types.Delete{TableName: tableName, Key: values{"key": item("a", "")["key"]}}}
	for _, step := range []struct {
		token string
		items []types.TransactWriteItem
		want  string
		a, b  string
	}{
		{"t1", []types.TransactWriteItem{put("a", "1")}, "", "1", ""},
		{"t1", []types.TransactWriteItem{put("a", "1")}, "", "1", ""},
		{"t1", []types.TransactWriteItem{put("a", "2")}, "IdempotentParameterMismatchException", "1", ""},
		{"t2", []types.TransactWriteItem{put("b", "1"), put("a", "2")}, "TransactionCanceledException", "1", ""},
		{"t3", []types.TransactWriteItem{put("b", "1"), remove}, "", "", "1"},
		{"t4", []types.TransactWriteItem{put("a", "1"), remove}, "ValidationException", "", "1"},
	} {
		if got := write(step.token, step.items...); got != step.want {
			t.Errorf("%+v: %q, want %q", step, got, step.want)
		}
		if a, b := body(t, c, "a", true), body(t, c, "b", true); a != step.a || b != step.b {
			t.Errorf("%+v: a=%q b=%q", step, a, b)
		}
	}
}

// Only reads that do not ask for consistency may be stale, so that tests detect a client that omits ConsistentRead
// where it is needed.
func TestStaleReads(t *testing.T) {
	m := clock.NewManual(1_000_000)
	_, c, url := startServer(t, table.WithClock(m.Clock()))
	ctx := context.Background()
	for _, b := range []string{"old", "new"} {
		m.Advance(clock.Minute)
		if _, err := c.PutItem(ctx, &dynamodb.PutItemInput{TableName: tableName, Item: item("k", b)}); err != nil {
			t.Fatal(err)
		}
	}
	putFaults(t, url, `{"stale-ms": 30000}`, http.StatusNoContent)
	if stale, consistent := body(t, c, "k", false), body(t, c, "k", true); stale != "old" || consistent != "new" {
		t.Errorf("stale read %q, consistent read %q; want old, new", stale, consistent)
	}
}

func putFaults(t *testing.T, url, faults string, want int) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPut, url+"/faults", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != want {
		t.Fatalf("PUT /faults %s: status %d, want %d", faults, response.StatusCode, want)
	}
}

// A fault that is ignored or affects the wrong requests would invalidate the tests that inject it.
func TestFaultControl(t *testing.T) {
	_, c, url := startServer(t)
	putFaults(t, url, `{"outtage": "silent"}`, http.StatusBadRequest)
	putFaults(t, url, `{"outage": "unavailable", "applies-to": "writes", "limit": 2}`, http.StatusNoContent)
	var failed int
	for range 4 {
		body(t, c, "k", true)
		if _, err := c.PutItem(context.Background(), &dynamodb.PutItemInput{TableName: tableName, Item: item("k", "{}")}); err != nil {
			failed++
		}
	}
	if failed != 2 {
		t.Errorf("%d writes failed, want 2", failed)
	}
	response, err := http.Get(url + "/record")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var record fault.Record
	if err := json.NewDecoder(response.Body).Decode(&record); err != nil || record != (fault.Record{Reads: 4, Writes: 4}) {
		t.Errorf("GET /record = %+v, %v; want 4 reads, 4 writes", record, err)
	}
}
