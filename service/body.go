package service

import "io"

// body is a request body that net/http cannot rewind. Without it the transport resends a request with an
// Idempotency-Key header, or with an idempotent method, when a reused connection breaks.
type body struct{ io.Reader }

// Close does nothing; the content is in memory.
func (body) Close() error { return nil }
