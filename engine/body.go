package engine

import "io"

// body is a request body that net/http cannot rewind: a request with it is never replayable, so the transport
// does not resend it after any byte of it may have been written.
type body struct{ io.Reader }

// Close does nothing; the content is in memory.
func (body) Close() error { return nil }
