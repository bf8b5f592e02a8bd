package settings

import (
	"golang.org/x/sys/unix"

	"github.com/poplarwinch/poplarwinch"
)

// machineMemory returns the memory of the machine.
func machineMemory() poplarwinch.Bytes {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return fallbackMemory
	}
	return poplarwinch.Bytes(uint64(info.Totalram) * uint64(info.Unit))
}
