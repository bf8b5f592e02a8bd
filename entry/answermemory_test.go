package entry

import (
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/internal/bytebudget"
)

// Guards against bodies that are announced and never sent, for which other requests wait until their time limit.
func TestIncompleteUploadGivesWay(t *testing.T) {
	b := newBodyBudget(4000, 1500)
	stalled, reclaims := int64(4000), 0
	if !b.memory.TryAcquire(stalled) {
		t.Fatal("no memory")
	}
	b.reclaim = func() bool {
		if reclaims++; reclaims > 1 {
			return false
		}
		go b.memory.Release(stalled)
		return true
	}
	body, release, err := readBody(b, 10*time.Second, strings.Repeat("x", 1000), 1000)
	if err != nil || len(body) != 1000 {
		t.Fatalf("%d bytes, %v", len(body), err)
	}
	release()
	if !b.memory.TryAcquire(4000) {
		t.Error("memory was not returned to the budget")
	}
}

// Guards against buffered answers without a common bound, and small ones that fail because of large ones.
func TestAnswerMemory(t *testing.T) {
	s := &Server{answers: bytebudget.New(100 << 10)}
	large, other, small := &exchange{server: s}, &exchange{server: s}, &exchange{server: s}
	if !large.takeAnswer(100<<10) || !large.takeAnswer(60<<10) {
		t.Fatal("no memory for the first answer")
	}
	if other.takeAnswer(100 << 10) {
		t.Error("memory was taken twice")
	}
	if !small.takeAnswer(freeAnswerBytes) {
		t.Error("no memory for a small answer")
	}
	large.releaseAnswer()
	other.releaseAnswer()
	small.releaseAnswer()
	if n := s.answers.Used(); n != 0 {
		t.Errorf("%d bytes are not given back", n)
	}
}
