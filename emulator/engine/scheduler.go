package engine

import (
	"cmp"
	"context"
	"slices"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// runScheduler runs batch steps while there are prompts, and waits for a signal otherwise, until ctx is done.
func (e *Engine) runScheduler(ctx context.Context) {
	c := e.config.clock
	var stepEnd clock.Millis
	for busy := false; ; {
		if !busy {
			select {
			case <-e.wake:
			case <-ctx.Done():
				return
			}
			stepEnd = c.Now()
		}
		// The results of a step become visible at its end. If the schedule is more than one step behind, it restarts at the
		// current time instead of catching up.
		stepEnd = max(stepEnd, c.Now()-e.config.step) + e.config.step
		if c.Sleep(ctx, stepEnd-c.Now()) != nil {
			return
		}
		busy = e.step()
	}
}

// step runs one batch step and reports whether prompts are left.
func (e *Engine) step() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	b, now := e.boot, e.config.clock.Now()
	if b.isStopped {
		return false
	}
	e.expire(b, now)
	if !e.admit(b, now) {
		return false
	}
	budget := poplarwinch.Tokens(max(1, e.config.prefillTokensPerSecond*int64(e.config.step)/int64(clock.Second)))
	slices.SortStableFunc(b.running, byPriority)
	budget -= e.decode(b, now, budget)
	if i := slices.IndexFunc(b.running, e.crashes); i >= 0 {
		b.running[i].run.Crashed = true
		e.crash(b)
		return false
	}
	e.prefill(b, budget)
	b.removeEnded()
	b.publish(e, now)
	b.recordLoad(now, e.faults.LoadLag)
	b.pruneStreams(now - e.config.retention)
	return len(b.running)+len(b.waiting) > 0
}

func byPriority(x, y *sequence) int {
	return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.arrival, y.arrival))
}

// expire fails sequences whose deadline has passed.
func (e *Engine) expire(b *boot, now clock.Millis) {
	for _, s := range slices.Concat(b.waiting, b.running) {
		if s.deadline != 0 && now > s.deadline {
			s.failure = "deadline exceeded"
			b.finish(s, phaseFailed, now)
		}
	}
}

// admit moves waiting sequences into the batch in order of priority while memory and batch size permit. It returns
// false if a prompt crashed the engine.
func (e *Engine) admit(b *boot, now clock.Millis) bool {
	slices.SortStableFunc(b.waiting, byPriority)
	blocked := false
	var stillWaiting []*sequence
	for _, s := range b.waiting {
		// Behind a prompt that does not fit, only prompts with reserved memory start, so that long prompts are not
		// starved.
		reserved := s.reserved != nil && s.reserved.available() >= s.requiredTokens()
		if len(b.running) >= e.config.maxRunning || (blocked && !reserved) || !b.startSequence(s) {
			blocked = true
			stillWaiting = append(stillWaiting, s)
			continue
		}
		s.run.Started = now
		b.running = append(b.running, s)
		s.run.Crashed = e.crashes(s)
		if e.config.onStart != nil {
			e.config.onStart(*s.run)
		}
		if s.run.Crashed {
			e.crash(b)
			return false
		}
	}
	b.waiting = stillWaiting
	return true
}

// crashes reports whether the prompt crashes the engine now.
func (e *Engine) crashes(s *sequence) bool {
	return s.generatedTokens >= e.faults.CrashTokens && s.contains(e.faults.CrashMarker)
}

// crash stops the engine because of a prompt.
func (e *Engine) crash(b *boot) {
	b.stop()
	if e.config.onCrash != nil {
		go e.config.onCrash()
	}
}

// startSequence allocates the memory of a sequence, first from its reservation, then from free memory. It returns
// false if the memory does not suffice.
func (b *boot) startSequence(s *sequence) bool {
	pinned := b.kvMemory.pin(s.hashes)
	cachedTokens := poplarwinch.Tokens(len(pinned)) * b.kvMemory.blockTokens
	requiredTokens := max(0, s.requiredTokens()-cachedTokens)
	var fromReservation poplarwinch.Tokens
	if s.reserved != nil {
		fromReservation = min(requiredTokens, s.reserved.available())
	}
	if !b.kvMemory.allocate(requiredTokens - fromReservation) {
		b.kvMemory.unpin(pinned)
		return false
	}
	s.pinned, s.cachedTokens, s.allocated, s.fromReservation = pinned, cachedTokens, requiredTokens-fromReservation, fromReservation
	if s.reserved != nil {
		s.reserved.inUse += fromReservation
	}
	s.phase = phasePrefill
	// At least one token is computed even if the whole prompt is cached.
	s.prefillRemaining = max(1, s.promptTokens-cachedTokens)
	return true
}

// decode adds one token to each decoding sequence within budget and returns the number of tokens spent.
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

// prefill spends budget on prompts in order of priority. A prompt that completes prefill starts decoding in the next
// step.
func (e *Engine) prefill(b *boot, budget poplarwinch.Tokens) {
	for _, s := range b.running {
		if s.phase != phasePrefill || budget <= 0 {
			continue
		}
		// The engines of a group share the prefill; only this engine's part counts against the budget.
		chunk := min(budget*s.engineCount, s.prefillRemaining)
		budget -= (chunk + s.engineCount - 1) / s.engineCount
		s.prefillRemaining -= chunk
		if s.prefillRemaining == 0 {
			s.phase = phaseDecode
			b.cachePrompt(s)
		}
	}
}

// cachePrompt adds the blocks of a prompt to the prefix cache as far as memory permits.
func (b *boot) cachePrompt(s *sequence) {
	m := b.kvMemory
	var added []uint64
	for _, h := range s.hashes[len(s.pinned):] {
		if m.blocks[h] == nil {
			switch {
			case s.allocated >= m.blockTokens:
				s.allocated -= m.blockTokens
			case !m.allocate(m.blockTokens):
				b.events.add(eventStored, s.prompt.model, added)
				return
			}
			m.free(m.blockTokens)
			m.insert(h, s.prompt.model)
			added = append(added, h)
		}
		m.pinBlock(m.blocks[h])
		s.pinned = append(s.pinned, m.blocks[h])
	}
	m.touch(s.pinned)
	b.events.add(eventStored, s.prompt.model, added)
}

// generate adds one token to a sequence and ends the sequence after the last one.
func (b *boot) generate(s *sequence, now clock.Millis) {
	s.generatedTokens++
	if s.run.FirstToken == 0 {
		s.run.FirstToken = now
	}
	if s.generatedTokens == s.prompt.maxTokens {
		b.finish(s, phaseDone, now)
		return
	}
	s.broadcast()
}

// finish ends a sequence: it frees the sequence's memory and wakes the responses that send it.
func (b *boot) finish(s *sequence, p phase, now clock.Millis) {
	if s.phase.ended() {
		return
	}
	b.kvMemory.unpin(s.pinned)
	b.kvMemory.free(s.allocated)
	if s.reserved != nil {
		s.reserved.inUse -= s.fromReservation
		if s.reserved.deleted {
			b.kvMemory.free(s.fromReservation)
		}
	}
	s.pinned, s.allocated, s.fromReservation = nil, 0, 0
	s.phase, s.ended = p, now
	s.prompt.text = "" // several megabytes for long prompts, not needed to resume the stream
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

// removeEnded removes ended sequences from the batch.
func (b *boot) removeEnded() {
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.phase.ended() })
}

// pruneStreams drops the streams that ended before the given time, at most once per second. Their ids stay in usedIDs.
func (b *boot) pruneStreams(before clock.Millis) {
	if before < b.prunedBefore+clock.Second {
		return
	}
	b.prunedBefore = before
	for id, s := range b.sequences {
		if s.phase.ended() && s.ended < before {
			delete(b.sequences, id)
		}
	}
}
