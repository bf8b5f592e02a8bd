// Package clock provides times in milliseconds, and clocks that tests can control.
package clock

import "time"

// Millis is a point in time as Unix time in milliseconds, or a duration in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts a duration to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Time converts a point in time to a time.Time in UTC.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// FromDuration converts d to milliseconds, rounding toward zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// FromTime converts t to Unix time in milliseconds.
func FromTime(t time.Time) Millis { return Millis(t.UnixMilli()) }
