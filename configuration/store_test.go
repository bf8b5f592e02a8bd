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

// startWithCommits starts all instances, commits the given number of manifests through instance 0 and waits until they are
// active everywhere.
func startWithCommits(t *testing.T, cluster *simulatedCluster, commits int) {
	t.Helper()
	for i := range instanceCount {
		cluster.start(t.Context(), i)
	}
	cluster.background.Go(func() { cluster.gossip(t.Context()) })
	t.Cleanup(func() {
		cluster.background.Wait()
		for i := range instanceCount {
			cluster.stop(i)
		}
	})
	for v := range commits {
		id := fmt.Sprintf("id-%d", v+1)
		if _, err := cluster.instances[0].store.Commit(t.Context(), document(id), manifest.Version(v), id); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(activationLimit)
}

// A commit with an unknown result must not be reported as not run, since it may have taken effect or still may. A commit
// that can never take effect must be.
func TestCommitErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster()
		startWithCommits(t, cluster, 40)
		store := cluster.instances[0].store
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
			cluster.putFaults = c.faults
			_, err := store.Commit(t.Context(), []byte(c.document), c.replaces, c.id)
			var e *poplarwinch.Error
			if !errors.As(err, &e) || e.Kind != c.kind || e.Outcome != c.outcome || e.Remedy == "" {
				t.Errorf("%s: Commit() = %v, want %s, %s", name, err, c.kind, c.outcome)
			}
		}
		cluster.row = &cluster.writtenRows[0]
		if v, err := store.Commit(t.Context(), document("41"), 40, "id-41"); v != 41 || err != nil {
			t.Errorf("Commit() to a restored table = %d, %v, want version 41", v, err)
		}
		if v, err := store.Commit(t.Context(), document("id-35"), 34, "id-35"); v != 35 || err != nil {
			t.Errorf("Commit() of a repeated commit = %d, %v, want version 35", v, err)
		}
		time.Sleep(activationLimit + 100*time.Millisecond) // so that no instance polls the table during the next commit
		cluster.putFaults = []string{"lost-reply"}
		cluster.background.Go(func() {
			time.Sleep(60 * time.Millisecond)
			cluster.mutex.Lock()
			cluster.row = &cluster.writtenRows[len(cluster.writtenRows)-2]
			cluster.mutex.Unlock()
			if _, err := cluster.instances[4].store.Commit(t.Context(), document("other"), 41, "other"); err != nil {
				t.Error(err)
			}
		})
		_, err := store.Commit(t.Context(), document("x"), 41, "removed")
		var e *poplarwinch.Error
		if !errors.As(err, &e) || e.Kind != poplarwinch.KindConflict || e.Outcome != poplarwinch.OutcomeUnknown {
			t.Errorf("Commit() that a restore of the table removed = %v, want a conflict with outcome unknown", err)
		}
		cluster.putFaults, cluster.lateWriteDelay = []string{"late-write"}, time.Hour
		cluster.background.Go(func() {
			time.Sleep(100 * time.Millisecond)
			cluster.mutex.Lock()
			cluster.tableDown = true
			cluster.mutex.Unlock()
		})
		_, err = store.Commit(t.Context(), document("x"), 42, "late")
		if !errors.As(err, &e) || e.Outcome != poplarwinch.OutcomeUnknown {
			t.Errorf("Commit() without a reply of the table = %v, want outcome unknown", err)
		}
	})
}

// A starting instance that activates the first version it is told, instead of the highest, would serve an outdated
// manifest.
func TestFreshInstanceTakesHighestVersion(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(cluster *simulatedCluster)
		want  manifest.Version
		limit time.Duration
	}{
		"stale table":         {func(cluster *simulatedCluster) { cluster.row = &cluster.writtenRows[0] }, 3, time.Second},
		"table without reply": {func(cluster *simulatedCluster) { cluster.platformCut[4] = true }, 3, 9 * time.Second},
		"no peer":             {func(cluster *simulatedCluster) { cluster.group[4] = 9 }, 3, 9 * time.Second},
		"no peer, old table":  {func(cluster *simulatedCluster) { cluster.group[4], cluster.row = 9, &cluster.writtenRows[0] }, 1, 9 * time.Second},
		"peers 2 s late, old table": {func(cluster *simulatedCluster) {
			cluster.group[4], cluster.row = 9, &cluster.writtenRows[0]
			cluster.background.Go(func() {
				time.Sleep(2 * time.Second)
				cluster.mutex.Lock()
				cluster.group[4] = 0
				cluster.mutex.Unlock()
			})
		}, 3, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster()
				startWithCommits(t, cluster, 3)
				for i := range instanceCount - 1 {
					cluster.stop(i) // so that no other instance writes a restored row back
				}
				c.fault(cluster)
				cluster.start(t.Context(), 4)
				time.Sleep(c.limit)
				cluster.mutex.Lock()
				defer cluster.mutex.Unlock()
				if got := cluster.instances[4].firstVersion; got != c.want || len(cluster.violations) > 0 {
					t.Errorf("the started instance first activated version %d, want %d; violations: %v", got, c.want, cluster.violations)
				}
			})
		})
	}
}

// If one source returns a corrupt section, it must be fetched from the other source. An instance that finds no manifest,
// or only that of another deployment, must stay without one.
func TestSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster()
		startWithCommits(t, cluster, 1)
		table := configuration.WithTable(configuration.Table{
			Get: func(ctx context.Context, _ string) (configuration.Row, bool, error) { return cluster.getRow(ctx, 0) },
		})
		peers := configuration.WithPeers(configuration.Peers{
			Records: func(context.Context) ([]configuration.Record, error) { return nil, nil },
			Sections: func(_ context.Context, digests []string) (map[string][]byte, error) {
				return cluster.peerSections(0, digests), nil
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
