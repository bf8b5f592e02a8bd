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

// WithRegion sets the region that requests are signed for.
func WithRegion(region string) Option { return func(o *Objects) { o.region = region } }

// WithCredentials sets the access key that requests are signed with.
func WithCredentials(id, secret string) Option {
	return func(o *Objects) { o.credentials = credentials.NewStaticCredentialsProvider(id, secret, "") }
}

// WithTimeout sets the time limit of each call; the default is five seconds.
func WithTimeout(d time.Duration) Option { return func(o *Objects) { o.timeout = d } }

// WithMaxBytes limits the length of objects that Get reads; the default is 64 MiB.
func WithMaxBytes(n poplarwinch.Bytes) Option { return func(o *Objects) { o.maxBytes = n } }
