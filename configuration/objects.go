package configuration

import "context"

// Objects holds the functions that access the object store.
type Objects struct {
	// Get returns the object stored under a key.
	Get func(ctx context.Context, key string) ([]byte, error)
	// PutNew stores an object under a new key; it returns ErrExists if the key is already in use.
	PutNew func(ctx context.Context, key string, data []byte) error
}
