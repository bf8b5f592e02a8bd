package admission

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Figures of the fake engine. They are assumptions, not measurements of a real engine: each step prefills up to 1,024
// tokens at 20,000 tokens/s, attention slows a token at depth d by the factor 1 + d/300,000, and each step yields one
// token of every decoding request.
const (
	fakeRate       = 20_000
	fakeChunk      = 1024
	fakeDepth      = 300_000
	fakeStepMicros = 4000
	fakeDecode     = 50 // microseconds per decoding request and step
	fakeBlocks     = 400
	blockTokens    = 1024
)

// job is one request on a fake engine.
type job struct {
	arrival
	done     int
	left     int
	sequence int
	ticket   *upstream.Ticket
	first    func()
	end      func()
	canceled bool
}

// use is one use of a block of the prefix cache.
type use struct {
	block  uint64
	number int
}

// fakeEngine is a model engine with chunked prefill, priorities and a prefix cache, in virtual time.
type fakeEngine struct {
	s        *simulation
	id       poplarwinch.UpstreamID
	priority bool
	waiting  []*job
	decoding []*job
	cache    map[uint64]int
	uses     int
	stored   []use
	busy     bool
}

func (e *fakeEngine) submit(j *job) {
	for _, block := range j.blocks {
		if _, ok := e.cache[block]; !ok {
			break
		}
		j.done += blockTokens
	}
	j.done = min(j.done, j.tokens-1)
	e.uses++
	j.sequence = e.uses
	e.waiting = append(e.waiting, j)
	slices.SortFunc(e.waiting, func(a, b *job) int {
		if c := a.class.Priority() - b.class.Priority(); c != 0 && e.priority {
			return c
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	e.step()
}

// step runs one batch and schedules its end.
func (e *fakeEngine) step() {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool { return j.canceled })
	e.decoding = slices.DeleteFunc(e.decoding, func(j *job) bool { return j.canceled })
	if e.busy || len(e.waiting)+len(e.decoding) == 0 {
		return
	}
	e.busy = true
	micros := fakeStepMicros + float64(len(e.decoding)*fakeDecode)
	budget := fakeChunk
	for _, j := range e.waiting {
		n := min(budget, j.tokens-j.done)
		micros += float64(n) * 1e6 / fakeRate * (1 + float64(j.done)/fakeDepth)
		j.done += n
		budget -= n
	}
	decoding := slices.Clone(e.decoding)
	e.s.after(int64(micros), func() {
		e.busy = false
		for _, j := range decoding {
			e.token(j)
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool {
			ready := j.done == j.tokens && !j.canceled
			if ready {
				e.store(j.blocks)
				j.first()
				e.decoding = append(e.decoding, j)
			}
			return ready
		})
		e.step()
	})
}

func (e *fakeEngine) token(j *job) {
	if j.left--; j.left == 0 && !j.canceled {
		j.canceled = true
		j.end()
	}
}

// store adds blocks to the cache and evicts the least recently used ones.
func (e *fakeEngine) store(blocks []uint64) {
	for _, block := range blocks {
		e.uses++
		e.cache[block] = e.uses
		e.stored = append(e.stored, use{block, e.uses})
	}
	for len(e.cache) > fakeBlocks {
		oldest := e.stored[0]
		e.stored = e.stored[1:]
		if e.cache[oldest.block] == oldest.number {
			delete(e.cache, oldest.block)
		}
	}
}

func (e *fakeEngine) load(now clock.Millis) upstream.Load {
	l := upstream.Load{At: now, RunningRequests: int64(len(e.decoding)), WaitingRequests: int64(len(e.waiting)), PrefillTokensPerSecond: fakeRate}
	for _, j := range e.waiting {
		l.WaitingPrefillTokens += poplarwinch.Tokens(j.tokens - j.done)
	}
	return l
}
