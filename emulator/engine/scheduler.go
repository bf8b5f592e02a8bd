package engine

import (
	"cmp"
	"context"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// loop runs batch steps while there is work.
func (e *Engine) loop(ctx context.Context) {
	c := e.config.clock
	var due clock.Millis
	for busy := false; ; {
		if !busy {
			select {
			case <-e.wake:
			case <-ctx.Done():
				return
			}
			due = c.Now()
		}
		// A step's results appear at its end. After a delay the schedule starts anew instead of catching up.
		due = max(due, c.Now()-e.config.step) + e.config.step
		if c.Sleep(ctx, due-c.Now()) != nil {
			return
		}
		busy = e.step()
	}
}

// step runs one batch step and reports whether work remains.
func (e *Engine) step() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	b, now := e.boot, e.config.clock.Now()
	if b.dead {
		return false
	}
	e.expire(b, now)
	if !e.admit(b, now) {
		return false
	}
	budget := poplarwinch.Tokens(max(1, e.config.prefillTokensPerSecond*int64(e.config.step)/int64(clock.Second)))
	slices.SortStableFunc(b.running, byPriority)
	budget -= e.decode(b, now, budget)
	e.prefill(b, budget)
	b.sweep()
	b.publish(e, now)
	b.sample(now, e.faults.LoadLag)
	b.forget(now - e.config.retention)
	return len(b.running)+len(b.waiting) > 0
}

func byPriority(x, y *sequence) int {
	return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.order, y.order))
}

// expire fails sequences whose deadline has passed.
func (e *Engine) expire(b *boot, now clock.Millis) {
	for _, s := range slices.Concat(b.waiting, b.running) {
		if s.deadline != 0 && now > s.deadline {
			s.failure = "deadline exceeded"
			b.end(s, phaseFailed, now)
		}
	}
}

// admit moves waiting sequences into the batch in order of priority while memory and batch size permit. It
// returns false when a prompt crashed the engine.
func (e *Engine) admit(b *boot, now clock.Millis) bool {
	slices.SortStableFunc(b.waiting, byPriority)
	full := false
	var rest []*sequence
	for _, s := range b.waiting {
		// Behind a prompt that does not fit, only those with reserved memory start, so that long prompts
		// are not passed over forever.
		reserved := s.reserved != nil && s.reserved.available() >= s.need()
		if len(b.running) >= e.config.maxRunning || (full && !reserved) || !b.start(s) {
			full = true
			rest = append(rest, s)
			continue
		}
		s.run.Started = now
		b.running = append(b.running, s)
		s.run.Crashed = s.contains(e.faults.CrashMarker)
		if e.config.started != nil {
			e.config.started(*s.run)
		}
		if s.run.Crashed {
			b.stop()
			if e.config.crash != nil {
				go e.config.crash()
			}
			return false
		}
	}
	b.waiting = rest
	return true
}

// start allocates the memory of a sequence: from its reservation, then from the free memory.
func (b *boot) start(s *sequence) bool {
	pins := b.memory.pin(s.hashes)
	hit := poplarwinch.Tokens(len(pins)) * b.memory.blockTokens
	need := max(0, s.need()-hit)
	var borrowed poplarwinch.Tokens
	if s.reserved != nil {
		borrowed = min(need, s.reserved.available())
	}
	if !b.memory.allocate(need - borrowed) {
		b.memory.unpin(pins)
		return false
	}
	s.pins, s.hit, s.held, s.borrowed = pins, hit, need-borrowed, borrowed
	if s.reserved != nil {
		s.reserved.lent += borrowed
	}
	s.phase = phasePrefill
	// At least one token is computed also when the whole prompt is cached.
	s.prefillLeft = max(1, s.tokens-hit)
	return true
}

// decode adds one token to each decoding sequence within budget and returns the tokens spent.
func (e *Engine) decode(b *boot, now clock.Millis, budget poplarwinch.Tokens) poplarwinch.Tokens {
	var spent poplarwinch.Tokens
	for _, s := range b.running {
		if s.phase != phaseDecode || spent >= budget {
			continue
		}
		spent++
		b.generate(s, now)
	}
	return spent
}

// prefill spends budget on prompts in order of priority; a prompt that is ready decodes from the next step on.
func (e *Engine) prefill(b *boot, budget poplarwinch.Tokens) {
	for _, s := range b.running {
		if s.phase != phasePrefill || budget <= 0 {
			continue
		}
		// The engines of a group share the work; only this one's part counts here.
		chunk := min(budget*s.engines, s.prefillLeft)
		budget -= (chunk + s.engines - 1) / s.engines
		s.prefillLeft -= chunk
		if s.prefillLeft == 0 {
			s.phase = phaseDecode
			b.cachePrompt(s)
		}
	}
}

// cachePrompt stores the blocks of a prompt that are not cached yet, as far as memory permits.
func (b *boot) cachePrompt(s *sequence) {
	m := b.memory
	var added []uint64
	for _, h := range s.hashes[len(s.pins):] {
		if m.blocks[h] == nil {
			switch {
			case s.held >= m.blockTokens:
				s.held -= m.blockTokens
			case !m.allocate(m.blockTokens):
				b.events.add(eventStored, s.prompt.model, added)
				return
			}
			m.free(m.blockTokens)
			m.store(h, s.prompt.model)
			added = append(added, h)
		}
		m.pinBlock(m.blocks[h])
		s.pins = append(s.pins, m.blocks[h])
	}
	m.touch(s.pins)
	b.events.add(eventStored, s.prompt.model, added)
}

// generate adds one token to a sequence and ends it after the last.
func (b *boot) generate(s *sequence, now clock.Millis) {
	s.generated++
	if s.run.FirstToken == 0 {
		s.run.FirstToken = now
	}
	if s.generated == s.prompt.maxTokens {
		b.end(s, phaseDone, now)
		return
	}
	s.broadcast()
}

// end frees the memory of a sequence and wakes its readers.
func (b *boot) end(s *sequence, p phase, now clock.Millis) {
	if s.phase.ended() {
		return
	}
	b.memory.unpin(s.pins)
	b.memory.free(s.held)
	if s.reserved != nil {
		s.reserved.lent -= s.borrowed
		if s.reserved.deleted {
			b.memory.free(s.borrowed)
		}
	}
	s.pins, s.held, s.borrowed = nil, 0, 0
	s.phase, s.ended = p, now
	s.prompt.text = "" // several megabytes for long prompts, which are of no use for resumes
	isEnded := func(x *sequence) bool { return x == s }
	b.waiting = slices.DeleteFunc(b.waiting, isEnded)
	switch p {
	case phaseDone:
		s.run.Completed = now
	case phaseFailed:
		s.run.Failed = now
	case phaseCancelled:
		s.run.Cancelled = now
	}
	s.broadcast()
}

// sweep removes ended sequences from the batch.
func (b *boot) sweep() {
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.phase.ended() })
}

// forget drops streams that ended before the given time; their ids stay used. It does so once a second.
func (b *boot) forget(before clock.Millis) {
	if before < b.forgotten+clock.Second {
		return
	}
	b.forgotten = before
	for id, s := range b.sequences {
		if s.phase.ended() && s.ended < before {
			delete(b.sequences, id)
		}
	}
}
