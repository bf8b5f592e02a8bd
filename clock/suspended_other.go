//go:build !linux

package clock

// suspended returns the time for which the machine was suspended, which is not known on this system.
func suspended() Millis { return 0 }
