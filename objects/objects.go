// Package objects is the client of the platform's object store, which implements the S3 protocol.
package objects

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/internal/connection"
)

// Objects reads and writes the objects of one bucket. Each call is sent at most once and has a deadline.
type Objects struct {
	bucket      string
	endpoint    string
	region      string
	credentials aws.CredentialsProvider
	timeout     time.Duration
	maxBytes    poplarwinch.Bytes
	pool        *connection.Pool
	client      *s3.Client
}

// New returns a client of the object store.
func New(opts ...Option) *Objects {
	o := &Objects{
		bucket: "poplarwinch", region: "local", timeout: 5 * time.Second, maxBytes: 64 << 20, pool: connection.New(),
		credentials: credentials.NewStaticCredentialsProvider("none", "none", ""),
	}
	for _, f := range opts {
		f(o)
	}
	o.client = s3.New(s3.Options{
		BaseEndpoint: aws.String(o.endpoint),
		Region:       o.region,
		Credentials:  o.credentials,
		HTTPClient:   o.pool.Client(),
		UsePathStyle: true,
		// A retry by the SDK would report ErrExists for an object that its own first attempt wrote.
		Retryer: aws.NopRetryer{},
		// By default the SDK adds checksum trailers, which some S3-compatible stores reject.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return o
}

// Get reads a whole object of up to maxBytes. Its errors are ErrNotFound and *UnavailableError.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	_, err := o.pool.Call(ctx, o.timeout, func(ctx context.Context) error {
		out, err := o.client.GetObject(ctx, &s3.GetObjectInput{Bucket: aws.String(o.bucket), Key: aws.String(key)})
		if err != nil {
			return err
		}
		defer out.Body.Close()
		data, err = io.ReadAll(io.LimitReader(out.Body, int64(o.maxBytes)+1))
		if err == nil && poplarwinch.Bytes(len(data)) > o.maxBytes {
			return fmt.Errorf("object is longer than the limit of %d bytes", o.maxBytes)
		}
		return err
	})
	var noSuchKey *types.NoSuchKey
	switch {
	case err == nil:
		return data, nil
	case errors.As(err, &noSuchKey):
		return nil, ErrNotFound
	}
	return nil, &UnavailableError{Key: key, Cause: err}
}

// PutNew writes an object unless it already exists. Its errors are ErrExists, *UnavailableError and *UncertainError.
func (o *Objects) PutNew(ctx context.Context, key string, data []byte) error {
	sent, err := o.pool.Call(ctx, o.timeout, func(ctx context.Context) error {
		_, err := o.client.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String(o.bucket), Key: aws.String(key), IfNoneMatch: aws.String("*"),
			Body: bytes.NewReader(data), ContentLength: aws.Int64(int64(len(data))),
		})
		return err
	})
	return classify(key, sent, err)
}

// Delete removes an object, and succeeds if it does not exist. Its errors are *UnavailableError and *UncertainError.
func (o *Objects) Delete(ctx context.Context, key string) error {
	sent, err := o.pool.Call(ctx, o.timeout, func(ctx context.Context) error {
		_, err := o.client.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: aws.String(o.bucket), Key: aws.String(key)})
		return err
	})
	return classify(key, sent, err)
}

// classify converts the error of a write by what it says about the effect: none for ErrExists and UnavailableError,
// unknown for UncertainError.
func classify(key string, sent bool, err error) error {
	if err == nil {
		return nil
	}
	var apiError smithy.APIError
	var response *smithyhttp.ResponseError
	status := 0
	if errors.As(err, &apiError) && errors.As(err, &response) {
		status = response.HTTPStatusCode()
	}
	switch {
	case status == http.StatusPreconditionFailed:
		return ErrExists
	case !sent, status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return &UnavailableError{Key: key, Cause: err}
	}
	return &UncertainError{Key: key, Cause: err}
}
