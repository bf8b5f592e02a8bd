package main

import (
	"math/rand/v2"
	"time"
)

// repeatDelay is the longest wait between a call and a concurrent repeat of it: long enough
// that repeats meet the first copy in every state, from just sent to answered.
const repeatDelay = 200 * time.Millisecond

// callArrival is one non-repeatable call of the schedule.
type callArrival struct {
	due        time.Duration
	number     uint64
	key        int
	repeat     bool
	concurrent bool          // repeat without waiting for the first answer
	delay      time.Duration // wait before the repeat
}

// callArrivals generates the Poisson arrivals of non-repeatable calls.
type callArrivals struct {
	random  *rand.Rand
	profile profile
	repeat  float64
	keys    int
	at      float64
	number  uint64
}

func (g *callArrivals) next() callArrival {
	g.at = g.profile.after(g.at, g.random.ExpFloat64())
	g.number++
	return callArrival{
		due: seconds(g.at), number: g.number,
		key:        g.random.IntN(g.keys),
		repeat:     g.random.Float64() < g.repeat,
		concurrent: g.random.Float64() < 0.5,
		delay:      time.Duration(g.random.Float64() * float64(repeatDelay)),
	}
}
