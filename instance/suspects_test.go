package instance

import (
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch/quarantine"
)

// Guards against a notice that grows with the messages of the chats which ran on an engine when it died, and against one that leaves out the
// requests, which their callers may repeat at once.
func TestNoticesOfSuspectsAreBounded(t *testing.T) {
	var suspects []quarantine.Suspect
	for position := range 3 * maxNoticeSuspects {
		suspects = append(suspects, quarantine.Suspect{Position: position + 1}, quarantine.Suspect{Position: position / maxNoticeSuspects})
	}
	list := mostSpecific(suspects, maxNoticeSuspects)
	if len(list) != maxNoticeSuspects || slices.ContainsFunc(list, func(s quarantine.Suspect) bool { return s.Position != 0 }) {
		t.Errorf("got %d suspects, want %d whole requests", len(list), maxNoticeSuspects)
	}
}
