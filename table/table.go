// Package table is the client of the platform's table service, which implements the DynamoDB JSON protocol.
package table

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/poplarwinch/poplarwinch/internal/connection"
)

// Table reads and writes the rows of one table. Each call is sent at most once and has a deadline.
type Table struct {
	name        string
	endpoint    string
	region      string
	credentials aws.CredentialsProvider
	timeout     time.Duration
	pool        *connection.Pool
	client      *dynamodb.Client
}

// New returns a client of the table service.
func New(opts ...Option) *Table {
	t := &Table{
		name: "poplarwinch", region: "local", timeout: time.Second, pool: connection.New(),
		credentials: credentials.NewStaticCredentialsProvider("none", "none", ""),
	}
	for _, o := range opts {
		o(t)
	}
	t.client = dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(t.endpoint),
		Region:       t.region,
		Credentials:  t.credentials,
		HTTPClient:   t.pool.Client(),
		// A retry by the SDK would hide from the caller that the first write may have taken effect.
		Retryer: aws.NopRetryer{},
	})
	return t
}

// Get reads a row with strong consistency and reports whether it exists. Its errors are *UnavailableError.
func (t *Table) Get(ctx context.Context, key string) (Row, bool, error) {
	var out *dynamodb.GetItemOutput
	_, err := t.pool.Call(ctx, t.timeout, func(ctx context.Context) (err error) {
		out, err = t.client.GetItem(ctx, &dynamodb.GetItemInput{
			TableName: aws.String(t.name), ConsistentRead: aws.Bool(true), Key: primaryKey(key),
		})
		return err
	})
	if err != nil {
		return Row{}, false, &UnavailableError{Key: key, Cause: err}
	}
	if len(out.Item) == 0 {
		return Row{}, false, nil
	}
	row, err := fromItem(out.Item)
	if err != nil {
		return Row{}, false, &UnavailableError{Key: key, Cause: err}
	}
	return row, true, nil
}

// Put writes a row if condition holds. Its errors are ErrConditionFailed, *UnavailableError and *UncertainError.
func (t *Table) Put(ctx context.Context, row Row, condition Condition) error {
	conditionExpr := condition.expression()
	sent, err := t.pool.Call(ctx, t.timeout, func(ctx context.Context) error {
		_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
			TableName: aws.String(t.name), Item: toItem(row), ConditionExpression: conditionExpr.text,
			ExpressionAttributeNames: conditionExpr.names, ExpressionAttributeValues: conditionExpr.values,
		})
		return err
	})
	return classify(row.Key, sent, err)
}

// Delete removes a row if condition holds. Its errors are those of Put.
func (t *Table) Delete(ctx context.Context, key string, condition Condition) error {
	conditionExpr := condition.expression()
	sent, err := t.pool.Call(ctx, t.timeout, func(ctx context.Context) error {
		_, err := t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName: aws.String(t.name), Key: primaryKey(key), ConditionExpression: conditionExpr.text,
			ExpressionAttributeNames: conditionExpr.names, ExpressionAttributeValues: conditionExpr.values,
		})
		return err
	})
	return classify(key, sent, err)
}

// classify converts the error of a write by what it says about the effect: none for ErrConditionFailed and
// UnavailableError, unknown for UncertainError.
func classify(key string, sent bool, err error) error {
	if err == nil {
		return nil
	}
	var conditionFailed *types.ConditionalCheckFailedException
	if errors.As(err, &conditionFailed) {
		return ErrConditionFailed
	}
	var apiError smithy.APIError
	var response *smithyhttp.ResponseError
	// With a 4xx status the service rejects the request before it writes. After a 5xx status the effect is unknown.
	rejected := errors.As(err, &apiError) && errors.As(err, &response) &&
		response.HTTPStatusCode() >= http.StatusBadRequest && response.HTTPStatusCode() < http.StatusInternalServerError
	if !sent || rejected {
		return &UnavailableError{Key: key, Cause: err}
	}
	return &UncertainError{Key: key, Cause: err}
}
