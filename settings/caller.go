package settings

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const mebibyte = 1 << 20

// Caller bounds the resources that callers use.
type Caller struct {
	// MaxBody is the largest accepted request body.
	MaxBody poplarwinch.Bytes
	// BodyMemory bounds the memory for the bodies of all requests in progress.
	BodyMemory poplarwinch.Bytes
	// WriteStall is the time without progress after which a write to a caller fails.
	WriteStall clock.Millis
	// HeaderTimeout is the time within which a caller must send the request header.
	HeaderTimeout clock.Millis
	// IdleTimeout is the time after which idle connections are closed.
	IdleTimeout clock.Millis
	// MaxHeader is the largest size of a request's headers.
	MaxHeader poplarwinch.Bytes
	// MaxRequests bounds the requests in progress.
	MaxRequests int
}

func (c *Caller) read(r *reader) {
	const section = "caller"
	bodyMiB := r.number(section, "max-body-mib", 16, 1, 1024)
	memoryMiB := r.number(section, "body-memory-mib", 256, 1, 1<<20)
	if memoryMiB < bodyMiB {
		r.addProblem(section, "body-memory-mib", "", "raise it or lower max-body-mib",
			"%d MiB don't hold one body of max-body-mib, %d MiB", memoryMiB, bodyMiB)
	}
	c.MaxBody, c.BodyMemory = poplarwinch.Bytes(bodyMiB*mebibyte), poplarwinch.Bytes(memoryMiB*mebibyte)
	c.WriteStall = clock.Millis(r.number(section, "write-stall-ms", 30_000, 100, 600_000))
	c.HeaderTimeout = clock.Millis(r.number(section, "header-timeout-ms", 10_000, 100, 600_000))
	c.IdleTimeout = clock.Millis(r.number(section, "idle-timeout-ms", 120_000, 1000, 3_600_000))
	c.MaxHeader = poplarwinch.Bytes(r.number(section, "max-header-kib", 16, 4, 1024) << 10)
	c.MaxRequests = int(r.number(section, "max-requests", 4096, 1, 1_000_000))
}
