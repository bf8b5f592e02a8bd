package route

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Limits bound what callers may send.
type Limits struct {
	MaxHeader poplarwinch.Bytes
	MaxBody   poplarwinch.Bytes
	// HeaderTimeout is the time in which a caller must send the headers of a request.
	HeaderTimeout clock.Millis
	// IdleTimeout is the time that a caller's connection may stay idle.
	IdleTimeout clock.Millis
}
