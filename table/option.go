package table

import (
	"time"

	"github.com/aws/aws-sdk-go-v2/credentials"
)

// Option configures a Table.
type Option func(*Table)

// WithEndpoint sets the URL of the table service.
func WithEndpoint(url string) Option { return func(t *Table) { t.endpoint = url } }

// WithName sets the name of the table; the default is "poplarwinch".
func WithName(name string) Option { return func(t *Table) { t.name = name } }

// WithRegion sets the region in the signatures of requests; the default is "local".
func WithRegion(region string) Option { return func(t *Table) { t.region = region } }

// WithCredentials sets the ID and secret of the access key that signs requests.
func WithCredentials(id, secret string) Option {
	return func(t *Table) { t.credentials = credentials.NewStaticCredentialsProvider(id, secret, "") }
}

// WithTimeout sets the timeout of each call; the default is 1 s.
func WithTimeout(d time.Duration) Option { return func(t *Table) { t.timeout = d } }
