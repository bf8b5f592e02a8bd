package entry

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// defaultAnswerMemory is the memory for answers in progress if none is set.
	defaultAnswerMemory = 256 << 20
	// freeAnswerBytes is the size up to which an answer does not count, so that small answers pass while others use the memory up.
	freeAnswerBytes = 64 << 10
)

// takeAnswer counts n more bytes of the answer for the memory of answers until the end of the request.
func (x *exchange) takeAnswer(n int64) bool {
	x.answerBytes += n
	need := x.answerBytes - freeAnswerBytes - x.answerTaken
	if need <= 0 {
		return true
	}
	if !x.server.answers.Take(need) {
		return false
	}
	x.answerTaken += need
	return true
}

// releaseAnswer gives the memory back.
func (x *exchange) releaseAnswer() {
	x.server.answers.Return(x.answerTaken)
	x.answerBytes, x.answerTaken = 0, 0
}

// noAnswerMemory is the error for an answer for which there is no memory.
func noAnswerMemory() *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUpstreamFailed, Outcome: poplarwinch.OutcomeFailed, RetryAfter: clock.Second,
		Message: "the memory for answers is used up", Remedy: "request a stream, or a shorter answer",
	}
}
