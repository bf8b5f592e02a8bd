package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// settle starts the instances of a world, commits n manifests through instance 0 and lets them spread.
func settle(t *testing.T, w *world, n int) {
	t.Helper()
	for i := range instances {
		w.start(t.Context(), i)
	}
	w.pending.Go(func() { w.gossip(t.Context()) })
	t.Cleanup(func() {
		w.pending.Wait()
		for i := range instances {
			w.stop(i)
		}
	})
	for v := range n {
		id := fmt.Sprintf("id-%d", v+1)
		if _, err := w.nodes[0].store.Commit(t.Context(), document(id), manifest.Version(v), id); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(effectLimit)
}

// A commit without a certain result must not be reported as not run; one that never can take effect must be.
func TestCommitErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		settle(t, w, 40)
		store := w.nodes[0].store
		other := strings.ReplaceAll(string(document("x")), "simulated", "other")
		past := strings.ReplaceAll(string(document("x")), "2100-01-01", "1999-12-31")
		for name, c := range map[string]struct {
			document string
			replaces manifest.Version
			id       string
			faults   []string
			kind     poplarwinch.Kind
			outcome  poplarwinch.Outcome
		}{
			"stale version":             {string(document("x")), 39, "new", nil, poplarwinch.KindConflict, poplarwinch.OutcomeNotRun},
			"future version":            {string(document("x")), 41, "new", nil, poplarwinch.KindConflict, poplarwinch.OutcomeNotRun},
			"forgotten version":         {string(document("id-2")), 1, "id-2", nil, poplarwinch.KindConflict, poplarwinch.OutcomeUnknown},
			"id used for other content": {string(document("x")), 39, "id-40", nil, poplarwinch.KindConflict, poplarwinch.OutcomeNotRun},
			"invalid":                   {"{}", 40, "new", nil, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
			"other service":             {other, 40, "new", nil, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
			"final date in the past":    {past, 40, "new", nil, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
			"bad id":                    {string(document("x")), 40, "a b", nil, poplarwinch.KindInvalidRequest, poplarwinch.OutcomeNotRun},
			"nothing written": {
				string(document("x")), 40, "new",
				[]string{"not-written", "not-written", "not-written"},
				poplarwinch.KindUnavailable, poplarwinch.OutcomeNotRun,
			},
		} {
			w.puts = c.faults
			_, err := store.Commit(t.Context(), []byte(c.document), c.replaces, c.id)
			var e *poplarwinch.Error
			if !errors.As(err, &e) || e.Kind != c.kind || e.Outcome != c.outcome || e.Remedy == "" {
				t.Errorf("%s: Commit() = %v, want %s, %s", name, err, c.kind, c.outcome)
			}
		}
		w.row = &w.written[0]
		if v, err := store.Commit(t.Context(), document("41"), 40, "id-41"); v != 41 || err != nil {
			t.Errorf("a commit to a restored table gets version %d, %v, want 41", v, err)
		}
		if v, err := store.Commit(t.Context(), document("id-35"), 34, "id-35"); v != 35 || err != nil {
			t.Errorf("a repeated commit gets version %d, %v, want 35", v, err)
		}
		time.Sleep(effectLimit + 100*time.Millisecond) // so that no instance reads the table during the next commit
		w.puts = []string{"lost-reply"}
		w.pending.Go(func() {
			time.Sleep(60 * time.Millisecond)
			w.mutex.Lock()
			w.row = &w.written[len(w.written)-2]
			w.mutex.Unlock()
			if _, err := w.nodes[4].store.Commit(t.Context(), document("other"), 41, "other"); err != nil {
				t.Error(err)
			}
		})
		_, err := store.Commit(t.Context(), document("x"), 41, "removed")
		var e *poplarwinch.Error
		if !errors.As(err, &e) || e.Kind != poplarwinch.KindConflict || e.Outcome != poplarwinch.OutcomeUnknown {
			t.Errorf("a commit that a restore removed gets %v, want a conflict with outcome unknown", err)
		}
		w.puts, w.late = []string{"late-write"}, time.Hour
		w.pending.Go(func() {
			time.Sleep(100 * time.Millisecond)
			w.mutex.Lock()
			w.tableDown = true
			w.mutex.Unlock()
		})
		_, err = store.Commit(t.Context(), document("x"), 42, "late")
		if !errors.As(err, &e) || e.Outcome != poplarwinch.OutcomeUnknown {
			t.Errorf("Commit() without any answer = %v, want outcome unknown", err)
		}
	})
}

// A fresh instance that takes the first answer instead of the highest would serve with a withdrawn manifest.
func TestFreshInstanceTakesHighestVersion(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(w *world)
		want  manifest.Version
		limit time.Duration
	}{
		"stale table":         {func(w *world) { w.row = &w.written[0] }, 3, time.Second},
		"table without reply": {func(w *world) { w.cut[4] = true }, 3, 9 * time.Second},
		"no peer":             {func(w *world) { w.group[4] = 9 }, 3, 9 * time.Second},
		"no peer, old table":  {func(w *world) { w.group[4], w.row = 9, &w.written[0] }, 1, 9 * time.Second},
		"peers 2 s late, old table": {func(w *world) {
			w.group[4], w.row = 9, &w.written[0]
			w.pending.Go(func() {
				time.Sleep(2 * time.Second)
				w.mutex.Lock()
				w.group[4] = 0
				w.mutex.Unlock()
			})
		}, 3, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld()
				settle(t, w, 3)
				for i := range instances - 1 {
					w.stop(i) // so that no instance repairs the table
				}
				c.fault(w)
				w.start(t.Context(), 4)
				time.Sleep(c.limit)
				w.mutex.Lock()
				defer w.mutex.Unlock()
				if got := w.nodes[4].first; got != c.want || len(w.violations) > 0 {
					t.Errorf("the fresh instance starts with version %d, want %d; %v", got, c.want, w.violations)
				}
			})
		})
	}
}

// A corrupt copy in one source must not hide the good copy of another, and the manifest of another deployment or none
// at all must leave the instance without one.
func TestSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		settle(t, w, 1)
		table := configuration.WithTable(configuration.Table{
			Get: func(ctx context.Context, _ string) (configuration.Row, bool, error) { return w.get(ctx, 0) },
		})
		peers := configuration.WithPeers(configuration.Peers{
			Records: func(context.Context) ([]configuration.Record, error) { return nil, nil },
			Sections: func(_ context.Context, digests []string) (map[string][]byte, error) {
				return w.sections(0, digests), nil
			},
		})
		corrupt := configuration.WithObjects(configuration.Objects{
			Get: func(context.Context, string) ([]byte, error) { return []byte("[]"), nil },
		})
		for name, c := range map[string]struct {
			store  *configuration.Store
			active bool
		}{
			"corrupt objects":  {configuration.New(table, peers, corrupt), true},
			"nothing":          {configuration.New(), false},
			"other deployment": {configuration.New(table, peers, configuration.WithService("other")), false},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			err := c.store.Run(ctx)
			cancel()
			if active := c.store.Active() != nil; !errors.Is(err, context.DeadlineExceeded) || active != c.active {
				t.Errorf("%s: Run() = %v, active %v, want %v", name, err, active, c.active)
			}
		}
	})
}
