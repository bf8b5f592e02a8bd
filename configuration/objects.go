package configuration

import "context"

// Objects reaches the object store.
type Objects struct {
	Get func(ctx context.Context, key string) ([]byte, error)
	// PutNew stores an object under a new key; ErrExists if there is one already.
	PutNew func(ctx context.Context, key string, data []byte) error
}
