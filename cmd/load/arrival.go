package main

import (
	"math/rand/v2"
	"time"
)

// arrival is one scheduled prompt.
type arrival struct {
	due      time.Duration
	surge    bool
	number   uint64
	class    int
	stream   bool
	key      int // index of the customer key
	document int // index of the shared prefix, -1 for a prompt without one
	offset   int // start of the prompt's text in corpus.filler
}

// arrivals generates the Poisson arrivals of prompts; the same seed gives the same arrivals.
type arrivals struct {
	random            *rand.Rand
	profile           profile
	mix               mix
	stream            float64 // fraction of prompts that are streamed
	keys              int     // number of customer keys
	documentCount     int     // number of shared prefixes
	sharedPrefixShare float64 // fraction of prompts that begin with a shared prefix
	at                float64 // time of the last arrival in seconds
	number            uint64
}

// next returns the next arrival. It always draws the same number of random values, so that an option
// that changes one property of an arrival leaves the others unchanged.
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
	shared, document := g.random.Float64() < g.sharedPrefixShare, g.random.IntN(g.documentCount)
	if shared {
		a.document = document
	}
	return a
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	const limit = 1e9 // longer than any run; prevents the overflow of an infinite time
	return time.Duration(min(s, limit) * float64(time.Second))
}
