package admission

import (
	"cmp"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// Parameters of the fake engine. They are assumptions, not measurements of a real engine. Each step prefills one chunk and
// generates one token of every decoding request.
const (
	// fakeTokensPerSecond is the prefill rate at the start of a prompt in tokens/s.
	fakeTokensPerSecond = 20_000
	// fakeChunkTokens is the largest number of tokens that a step prefills.
	fakeChunkTokens = 1024
	// fakeDepth is the number of tokens before a token at which attention halves its prefill rate: a token at depth d
	// takes 1 + d/fakeDepth times as long.
	fakeDepth = 300_000
	// fakeStepMicros is the duration of an empty step in microseconds.
	fakeStepMicros = 4000
	// fakeDecodeMicros is the additional duration of a step for each decoding request in microseconds.
	fakeDecodeMicros = 50
	// fakeBlocks is the capacity of the prefix cache in blocks.
	fakeBlocks = 400
	// blockTokens is the size of a block in tokens.
	blockTokens = 1024
)

// job is one request on a fake engine.
type job struct {
	arrival
	// prefilled is the number of prompt tokens that were prefilled or found in the prefix cache.
	prefilled int
	// remaining is the number of tokens that are still to be generated.
	remaining int
	sequence  int
	ticket    *upstream.Ticket
	// first is called at the end of prefill.
	first func()
	// end is called after the last token.
	end func()
	// canceled is set when the job has ended or its time limit has passed.
	canceled bool
}

// cacheUse is one use of a block of the prefix cache.
type cacheUse struct {
	block  uint64
	number int
}

// fakeEngine simulates an engine with chunked prefill, priority scheduling and a prefix cache, in virtual time.
type fakeEngine struct {
	s  *simulation
	id poplarwinch.UpstreamID
	// priority selects scheduling by priority instead of first come, first served.
	priority bool
	waiting  []*job
	decoding []*job
	// cache maps each cached block to the number of its latest use.
	cache map[uint64]int
	// uses counts submitted jobs and stored blocks.
	uses int
	// stored lists the uses of cached blocks, oldest first.
	stored []cacheUse
	// busy is set while a step runs.
	busy bool
}

// submit queues a job after skipping its cached blocks.
func (e *fakeEngine) submit(j *job) {
	for _, block := range j.blocks {
		if _, ok := e.cache[block]; !ok {
			break
		}
		j.prefilled += blockTokens
	}
	j.prefilled = min(j.prefilled, j.tokens-1)
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

// step starts the next step, unless one is running or there is nothing to do, and schedules its end.
func (e *fakeEngine) step() {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool { return j.canceled })
	e.decoding = slices.DeleteFunc(e.decoding, func(j *job) bool { return j.canceled })
	if e.busy || len(e.waiting)+len(e.decoding) == 0 {
		return
	}
	e.busy = true
	micros := fakeStepMicros + float64(len(e.decoding)*fakeDecodeMicros)
	tokensLeft := fakeChunkTokens
	for _, j := range e.waiting {
		n := min(tokensLeft, j.tokens-j.prefilled)
		micros += float64(n) * 1e6 / fakeTokensPerSecond * (1 + float64(j.prefilled)/fakeDepth)
		j.prefilled += n
		tokensLeft -= n
	}
	decoding := slices.Clone(e.decoding)
	e.s.after(int64(micros), func() {
		e.busy = false
		for _, j := range decoding {
			e.token(j)
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool {
			ready := j.prefilled == j.tokens && !j.canceled
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

// token generates one token of a job.
func (e *fakeEngine) token(j *job) {
	if j.remaining--; j.remaining == 0 && !j.canceled {
		j.canceled = true
		j.end()
	}
}

// store adds blocks to the cache and evicts the least recently used ones.
func (e *fakeEngine) store(blocks []uint64) {
	for _, block := range blocks {
		e.uses++
		e.cache[block] = e.uses
		e.stored = append(e.stored, cacheUse{block, e.uses})
	}
	for len(e.cache) > fakeBlocks {
		oldest := e.stored[0]
		e.stored = e.stored[1:]
		if e.cache[oldest.block] == oldest.number {
			delete(e.cache, oldest.block)
		}
	}
}

// load returns the engine's load report.
func (e *fakeEngine) load(now clock.Millis) upstream.Load {
	l := upstream.Load{At: now, RunningRequests: int64(len(e.decoding)), WaitingRequests: int64(len(e.waiting)), PrefillTokensPerSecond: fakeTokensPerSecond}
	for _, j := range e.waiting {
		l.WaitingPrefillTokens += poplarwinch.Tokens(j.tokens - j.prefilled)
	}
	return l
}
