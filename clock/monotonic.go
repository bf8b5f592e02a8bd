package clock

import "time"

// Monotonic returns a clock that starts at the time of the wall clock and is not affected by later steps of the wall
// clock.
func Monotonic() *Clock {
	start := time.Now()
	base := FromTime(start)
	c := System()
	c.now = func() Millis { return base + FromDuration(time.Since(start)) }
	return c
}
