//go:build !linux

package settings

import "github.com/poplarwinch/poplarwinch"

// machineMemory returns fallbackMemory: only Linux tells it in a common way.
func machineMemory() poplarwinch.Bytes { return fallbackMemory }
