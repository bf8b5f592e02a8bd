package routing

import "testing"

// Guards against a set for long prompts that persists after the last one, or that leaves no engine to other prompts.
func TestLongSetFollowsRecentArrivals(t *testing.T) {
	a := newArrivals()
	for name, c := range map[string]struct {
		n         int
		long, all int64
		want      int
	}{
		"no arrivals":      {12, 0, 0, 0},
		"no long prompts":  {12, 0, 100, 0},
		"few long prompts": {12, 1, 100, 1},
		"a third":          {12, 33, 100, 4},
		"only long ones":   {12, 100, 100, 11},
		"one engine":       {1, 100, 100, 1},
		"no engine":        {0, 100, 100, 0},
	} {
		if got := longSetSize(c.n, c.long, c.all); got != c.want {
			t.Errorf("%s: %d engines, want %d", name, got, c.want)
		}
	}
	a.add(1_000_000, &Prompt{Class: ClassLong, Tokens: 100_000})
	a.add(1_000_500, &Prompt{Class: ClassShort, Tokens: 100_000})
	if got := a.recentLongSetSize(1_000_500, 12); got != 6 {
		t.Errorf("%d engines right after the arrivals, want 6", got)
	}
	if got := a.recentLongSetSize(1_000_000+arrivalWindow+arrivalBucketWidth, 12); got != 0 {
		t.Errorf("%d engines after the window, want 0", got)
	}
}
