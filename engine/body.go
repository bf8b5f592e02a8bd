package engine

import "io"

// nonRewindableBody is a request body that net/http cannot rewind, so that the transport does not resend a request after
// any byte of it may have been written.
type nonRewindableBody struct{ io.Reader }

// Close does nothing, since the content is in memory.
func (nonRewindableBody) Close() error { return nil }
