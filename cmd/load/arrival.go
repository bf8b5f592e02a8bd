package main

import (
	"math/rand/v2"
	"time"
)

// arrival is one prompt of the schedule.
type arrival struct {
	due      time.Duration
	surge    bool
	number   uint64
	class    int
	stream   bool
	key      int
	document int // index of the shared text, -1 for a prompt of its own
	offset   int // start of the prompt's filler in the shared buffer
}

// arrivals generates the Poisson arrivals of prompts; the same seed gives the same arrivals.
type arrivals struct {
	random        *rand.Rand
	profile       profile
	mix           mix
	stream        float64
	keys          int
	documents     int
	documentShare float64
	at            float64
	number        uint64
}

// next returns the next arrival. It always draws the same count of random numbers, so that
// options that change one decision leave the others as they were.
func (g *arrivals) next() arrival {
	g.at = g.profile.after(g.at, g.random.ExpFloat64())
	g.number++
	a := arrival{
		due: seconds(g.at), surge: g.profile.surging(g.at), number: g.number, document: -1,
		class:  g.mix.pick(g.random.Float64()),
		stream: g.random.Float64() < g.stream,
		key:    g.random.IntN(g.keys),
		offset: g.random.IntN(fillerSlack),
	}
	shared, document := g.random.Float64() < g.documentShare, g.random.IntN(g.documents)
	if shared {
		a.document = document
	}
	return a
}

func seconds(s float64) time.Duration {
	const limit = 1e9 // beyond any run; keeps an infinite time representable
	return time.Duration(min(s, limit) * float64(time.Second))
}
