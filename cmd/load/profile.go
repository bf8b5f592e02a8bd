package main

import "math"

// profile is an arrival rate over time: base per second, multiplied by factor during a surge in
// [start, end) seconds. A factor of 0 means no surge.
type profile struct {
	base, factor, start, end float64
}

func (p profile) surging(at float64) bool { return p.factor > 0 && at >= p.start && at < p.end }

// after returns the time at which the integral of the rate from time at reaches area.
func (p profile) after(at, area float64) float64 {
	for {
		rate, until := p.base, math.Inf(1)
		switch {
		case p.factor <= 0 || at >= p.end:
		case at < p.start:
			until = p.start
		default:
			rate, until = p.base*p.factor, p.end
		}
		if rate <= 0 && math.IsInf(until, 1) {
			return until
		}
		if next := at + area/rate; next <= until {
			return next
		}
		area -= (until - at) * rate
		at = until
	}
}
