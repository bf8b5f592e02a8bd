package completion

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch"
)

// Guards against messages that are the same but have different ids, and against the last message, the request's own, among the parts.
func TestSharedParts(t *testing.T) {
	parse := func(body string) []string {
		r, err := Parse(FormatChat, []byte(body))
		if err != nil {
			t.Fatalf("%s: %v", body, err)
		}
		var ids []string
		for _, id := range r.SharedParts {
			ids = append(ids, string(id))
		}
		return ids
	}
	first := parse(`{"model":"m","messages":[{"role":"system","content":"a ] , b"},{"role":"user","content":"c"}, {"role":"user","content":"x"}]}`)
	second := parse(`{"model":"m","messages":[ {"role":"system","content":"other"} ,{"role":"user","content":"c"},{"role":"user","content":"y"}]}`)
	if len(first) != 2 || len(second) != 2 || first[0] == second[0] || first[1] != second[1] {
		t.Errorf("got the parts %v and %v, want the second one in common", first, second)
	}
	if one := parse(`{"model":"m","messages":[{"role":"user","content":"c"}]}`); one != nil {
		t.Errorf("got the parts %v of a single message", one)
	}
	if r, err := Parse(FormatText, []byte(`{"model":"m","prompt":"[1,2]"}`)); err != nil || !slices.Equal(r.SharedParts, nil) {
		t.Errorf("got the parts %v of a text prompt, error %v", r.SharedParts, err)
	}
}

// Guards against a message that goes on crashing engines because it stands behind many others, and against hashing without bound.
func TestSharedPartsOfLongChats(t *testing.T) {
	for _, count := range []int{1, 34, 500, poplarwinch.MaxSharedParts + 1, poplarwinch.MaxSharedParts + 50} {
		messages := make([]string, count)
		for n := range messages {
			messages[n] = fmt.Sprintf(`{"role":"user","content":"%d"}`, n)
		}
		r, err := Parse(FormatChat, []byte(`{"model":"m","messages":[`+strings.Join(messages, ", ")+`]}`))
		if err != nil {
			t.Fatal(err)
		}
		identified := min(count-1, poplarwinch.MaxSharedParts)
		if n := len(r.SharedParts); n != identified || r.UnidentifiedParts != count-1-identified {
			t.Errorf("of %d messages %d are identified and %d counted as left out, want %d", count, n, r.UnidentifiedParts, identified)
		}
	}
}
