package dispatch

import (
	"testing"

	"github.com/poplarwinch/poplarwinch/fleet"
)

// Guards against a new start of a server that gets no retry of a request because an attempt failed on the start before.
func TestNewStartOfAServerIsNotExcluded(t *testing.T) {
	failed := fleet.Server{ID: "s1", Boot: 1}
	started := fleet.Server{ID: "s1", Boot: 2}
	x := &run{excluded: map[serverStart]bool{startOf(&failed): true}}
	got := x.markExcluded([]fleet.Candidate{{Server: failed}, {Server: started}})
	if !got[0].Avoid || got[1].Avoid {
		t.Errorf("avoided: the start that failed %t, the new start %t", got[0].Avoid, got[1].Avoid)
	}
}
