package settings

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/poplarwinch/poplarwinch"
)

// RuntimeFraction is the Go runtime's memory limit as a fraction of the machine's memory.
const RuntimeFraction = 0.7

// Limits are the resources of the machine.
type Limits struct {
	// Memory is the memory of the machine.
	Memory poplarwinch.Bytes
	// Lowered says that Memory was set, or follows from GOMEMLIMIT.
	Lowered bool
	// Files is the number of descriptors.
	Files int
}

func (l *Limits) read(r *reader) {
	const section = "limits"
	memory := r.number(section, "memory-mib", 0, 16, 1<<20)
	l.Files = int(r.number(section, "max-fds", descriptorLimit(), 256, 1<<20))
	l.Memory, l.Lowered = poplarwinch.Bytes(memory*mebibyte), memory > 0
	if memory > 0 {
		return
	}
	if n := debug.SetMemoryLimit(-1); n < math.MaxInt64 {
		l.Memory, l.Lowered = poplarwinch.Bytes(float64(n)/RuntimeFraction), true
		return
	}
	l.Memory = machineMemory()
}

// fallbackMemory is assumed if the system does not tell its memory.
const fallbackMemory poplarwinch.Bytes = 1 << 30

// fallbackDescriptors is assumed if the system does not tell its limit.
const fallbackDescriptors = 1024

// descriptorLimit returns the limit of open descriptors of the process.
func descriptorLimit() int64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return fallbackDescriptors
	}
	return int64(min(limit.Cur, 1<<20))
}
