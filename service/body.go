package service

import "io"

// body is a request body that net/http can't rewind. With a body that it can rewind, the transport resends a request that
// has an Idempotency-Key header or an idempotent method when a reused connection breaks.
type body struct{ io.Reader }

// Close does nothing: the content is in memory.
func (body) Close() error { return nil }
