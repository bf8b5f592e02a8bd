package main

import (
	"math/rand/v2"
	"time"
)

// repeatDelay is the maximum delay before a repeat. It is long enough that concurrent repeats arrive
// in every state of the first copy, from just sent to answered.
const repeatDelay = 200 * time.Millisecond

// callArrival is one scheduled non-repeatable call.
type callArrival struct {
	due        time.Duration
	number     uint64
	key        int // index of the customer key
	repeat     bool
	concurrent bool          // send the repeat without waiting for the first reply
	delay      time.Duration // delay before the repeat
}

// callArrivals generates the Poisson arrivals of non-repeatable calls.
type callArrivals struct {
	random  *rand.Rand
	profile profile
	repeat  float64 // probability of a repeat
	keys    int     // number of customer keys
	at      float64 // time of the last arrival in seconds
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
