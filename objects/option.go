package objects

import (
	"time"

	"github.com/aws/aws-sdk-go-v2/credentials"

	"github.com/poplarwinch/poplarwinch"
)

// Option configures Objects.
type Option func(*Objects)

// WithEndpoint sets the URL of the object store.
func WithEndpoint(url string) Option { return func(o *Objects) { o.endpoint = url } }

// WithBucket sets the name of the bucket; the default is "poplarwinch".
func WithBucket(name string) Option { return func(o *Objects) { o.bucket = name } }

// WithRegion sets the region in the signatures of requests; the default is "local".
func WithRegion(region string) Option { return func(o *Objects) { o.region = region } }

// WithCredentials sets the ID and secret of the access key that signs requests.
func WithCredentials(id, secret string) Option {
	return func(o *Objects) { o.credentials = credentials.NewStaticCredentialsProvider(id, secret, "") }
}

// WithTimeout sets the timeout of each call; the default is 5 s.
func WithTimeout(d time.Duration) Option { return func(o *Objects) { o.timeout = d } }

// WithMaxBytes sets the maximum length of objects that Get reads; the default is 64 MiB.
func WithMaxBytes(n poplarwinch.Bytes) Option { return func(o *Objects) { o.maxBytes = n } }
