package configuration_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/emulator/property"
	"github.com/poplarwinch/poplarwinch/manifest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(property.Run(m, map[string]string{"rapid.seed": "20261204"}))
}

// event is one step of a scenario.
type event struct {
	At       time.Duration
	Kind     string
	Instance int
	Other    int           // selects a second instance or a variant of the event
	Span     time.Duration // how long a fault lasts, or the delay of a late write
}

// accepted is a commit that was reported to the operator as accepted.
type accepted struct {
	id         string
	version    manifest.Version
	sourceTime [instanceCount]time.Duration // how long each instance has had a source of the version without activating it
}

// simulation runs one scenario and checks its invariants.
type simulation struct {
	*simulatedCluster
	ctx            context.Context
	runningCommits sync.WaitGroup
	accepted       []*accepted
	acceptedFor    map[manifest.Version]string // commit id by the version that it replaced
	reportedNotRun map[string]bool             // by commit id; false once any call of Commit reported another outcome
	restored       bool
}

const (
	// settleTime is the time from the last event to the checks of the final state.
	settleTime = 40 * time.Second
	// activationLimit is the longest time in which an accepted version must become active on an instance with a source of it.
	activationLimit = 8 * time.Second
	// checkInterval is the time between two checks of the active versions.
	checkInterval = 250 * time.Millisecond
	// viewDelay is the time after which the membership view reflects a change of the network: membership regards a
	// silent peer as dead only after about 10 s.
	viewDelay = 10 * time.Second
)

// document returns a manifest whose content differs by text.
func document(text string) []byte {
	return []byte(fmt.Sprintf(`{"service": "simulated", "final-date": "2100-01-01",
		"limits": {"default-timeout-ms": 1000, "max-timeout-ms": 1000, "max-prompt-tokens": 10},
		"models": [{"name": "m", "version": %q, "context-tokens": 10, "bytes-per-token": 4, "min-engines": 1}],
		"engines": {"checks-fencing-numbers": true, "memory-tokens": 10, "prefill-tokens-per-second": 1, "max-concurrent-loads": 1},
		"customers": [{"id": "c", "weight": 1, "key-hashes": [%q], "max-requests-in-flight": 1, "max-tokens-in-flight": 10,
			"models": ["m"]}]}`, text, manifest.HashKey("key")))
}

// runScenario executes the events in virtual time and returns the cluster with the violations that were found.
func runScenario(t *testing.T, events []event) *simulatedCluster {
	cluster := newCluster()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &simulation{simulatedCluster: cluster, ctx: ctx, acceptedFor: map[manifest.Version]string{}, reportedNotRun: map[string]bool{}}
		for i := range instanceCount {
			s.start(ctx, i)
		}
		var loops sync.WaitGroup
		loops.Go(func() { s.gossip(ctx) })
		loops.Go(func() { s.checkPeriodically() })
		s.commit(0, "first", 0)
		startTime := time.Now()
		for i, e := range events {
			time.Sleep(e.At - time.Since(startTime))
			s.execute(i, e)
		}
		time.Sleep(settleTime)
		s.runningCommits.Wait()
		s.background.Wait()
		s.checkFinalState()
		s.checkDigests()
		cancel()
		loops.Wait()
		for i := range instanceCount {
			s.stop(i)
		}
	})
	return cluster
}

// execute starts the event with the given index; faults end after e.Span in the background.
func (s *simulation) execute(index int, e event) {
	id := fmt.Sprintf("commit-%d", index)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	during := func(start, end func()) {
		start()
		s.background.Go(func() {
			time.Sleep(e.Span)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			end()
		})
	}
	switch e.Kind {
	case "commit":
		replaces := s.instances[e.Instance].activeVersion
		if s.row != nil {
			replaces = max(replaces, manifest.Version(s.row.Version))
		}
		s.runningCommits.Go(func() { s.commit(e.Instance, id, replaces) })
		switch e.Other % 3 {
		case 0: // a concurrent commit of a different manifest
			s.runningCommits.Go(func() { s.commit(e.Other%instanceCount, id+"-other", replaces) })
		case 1: // the same commit through another instance
			s.runningCommits.Go(func() { s.commit(e.Other%instanceCount, id, replaces) })
		}
	case "table-down":
		during(func() { s.tableDown = true }, func() { s.tableDown = false })
	case "objects-down":
		during(func() { s.objectsDown = true }, func() { s.objectsDown = false })
	case "mute":
		during(func() { s.mute = true }, func() { s.mute = false })
	case "cut":
		during(func() { s.platformCut[e.Instance] = true }, func() { s.platformCut[e.Instance] = false })
	case "isolate":
		during(func() { s.group[e.Instance] = 2 }, func() { s.group = [instanceCount]int{} })
		s.background.Go(s.updateView)
	case "partition":
		during(func() { s.group[e.Instance], s.group[e.Other%instanceCount] = 1, 1 }, func() { s.group = [instanceCount]int{} })
		s.background.Go(s.updateView)
	case "lost-reply", "late-write", "not-written":
		s.putFaults, s.lateWriteDelay = append(s.putFaults, e.Kind), e.Span
	case "restart":
		s.background.Go(func() { s.start(s.ctx, e.Instance) })
	case "corrupt":
		s.background.Go(func() { s.corruptRow(e.Other%2 == 0) })
	case "contradict":
		s.background.Go(s.writeConflictingRow)
	case "restore":
		s.restored = true
		s.background.Go(func() { s.restoreRow(e.Other) })
	case "lose-objects":
		s.background.Go(s.loseObjects)
	}
}

// updateView makes the membership view follow the network after viewDelay.
func (s *simulation) updateView() {
	time.Sleep(viewDelay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.viewedGroup = s.group
}

// commit commits a manifest through instance i and records the result.
func (s *simulation) commit(i int, id string, replaces manifest.Version) {
	s.mutex.Lock()
	store := s.instances[i].store
	s.mutex.Unlock()
	version, err := store.Commit(s.ctx, document(id), replaces, id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var e *poplarwinch.Error
	if err != nil {
		previous, seen := s.reportedNotRun[id]
		s.reportedNotRun[id] = errors.As(err, &e) && e.Outcome == poplarwinch.OutcomeNotRun && (previous || !seen)
		return
	}
	s.reportedNotRun[id] = false
	if first, ok := s.acceptedFor[replaces]; ok && first != id && !s.restored {
		s.violations = append(s.violations, fmt.Sprintf("commits %s and %s were both accepted for version %d", first, id, replaces))
	}
	s.acceptedFor[replaces] = id
	s.accepted = append(s.accepted, &accepted{id: id, version: version})
}

// checkPeriodically checks every checkInterval that accepted versions become active in time.
func (s *simulation) checkPeriodically() {
	for s.ctx.Err() == nil {
		time.Sleep(checkInterval)
		for i := range instanceCount {
			s.checkActivation(i)
		}
	}
}

// checkActivation records a violation for each accepted version that instance i has not activated although it has had a
// source of it for longer than activationLimit.
func (s *simulation) checkActivation(i int) {
	group := append(s.reachable(i), s.instances[i])
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own := s.instances[i]
	for _, a := range s.accepted {
		if own.activeVersion == 0 || own.activeVersion >= a.version || !s.hasSource(i, group, a.version) {
			a.sourceTime[i] = 0
			continue
		}
		if a.sourceTime[i] += checkInterval; a.sourceTime[i] > activationLimit {
			s.violations = append(s.violations, fmt.Sprintf("instance %d still has version %d instead of the accepted version %d, %v after it got a source",
				i, own.activeVersion, a.version, a.sourceTime[i]))
			a.sourceTime[i] = -time.Hour
		}
	}
}

// hasSource reports whether instance i can get the version from an instance of its group, or whether the table has it and
// i itself or a watcher of its group can read it.
func (s *simulation) hasSource(i int, group []*instance, version manifest.Version) bool {
	if s.mute {
		return false
	}
	for _, in := range group {
		if in.activeVersion >= version {
			return true
		}
	}
	if s.tableDown || s.objectsDown || !s.hasValidRow() || s.row.Version < uint64(version) {
		return false
	}
	if len(group) == 1 {
		return !s.platformCut[i]
	}
	for j := range instanceCount {
		lower := 0
		for k := range j {
			if s.viewedGroup[k] == s.viewedGroup[j] {
				lower++
			}
		}
		if s.group[j] == s.group[i] && !s.platformCut[j] && lower < 2 && s.instances[j].activeVersion > 0 {
			return true
		}
	}
	return false
}

// checkFinalState checks the invariants that must hold once all faults are over.
func (s *simulation) checkFinalState() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	recorded := s.simulatedCluster.recordedCommits()
	for id, reportedNotRun := range s.reportedNotRun {
		if _, ok := recorded[id]; ok && reportedNotRun {
			s.violations = append(s.violations, "commit "+id+" was reported as not run but is in the table")
		}
	}
	for _, a := range s.accepted {
		if recorded[a.id] != a.version {
			s.violations = append(s.violations, "commit "+a.id+" was accepted but is not in the table")
		}
	}
	for i, in := range s.instances {
		// With an invalid row, restarted instances may have no source of a manifest.
		if in.activeVersion != s.instances[0].activeVersion || in.activeVersion == 0 && s.hasValidRow() {
			s.violations = append(s.violations, fmt.Sprintf("instance %d ends with version %d, instance 0 with %d", i, in.activeVersion, s.instances[0].activeVersion))
		}
	}
	if s.simulatedCluster.alarms[configuration.AlarmStaleTable] > 0 && !s.restored {
		s.violations = append(s.violations, "the alarm for a stale table was raised although the table was never restored")
	}
	if s.row != nil && s.row.Version < uint64(s.instances[0].activeVersion) {
		s.violations = append(s.violations, fmt.Sprintf("the table ends with version %d, the instances have %d", s.row.Version, s.instances[0].activeVersion))
	}
}

// eventKinds lists the kinds that random scenarios draw from; a kind that occurs more often is drawn more often.
var eventKinds = []string{
	"commit", "commit", "commit", "commit", "table-down", "objects-down", "mute", "cut", "cut", "partition", "isolate",
	"lost-reply", "late-write", "not-written", "restart", "corrupt", "restore", "restore", "lose-objects",
}

// Whatever faults combine, no instance may activate an older version, no accepted commit may be lost, no version may be
// replaced by two accepted commits, and no commit that took effect may be reported as not run.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				At:       time.Duration(rapid.IntRange(0, 60_000).Draw(rt, "at")) * time.Millisecond,
				Kind:     rapid.SampledFrom(eventKinds).Draw(rt, "kind"),
				Instance: rapid.IntRange(0, instanceCount-1).Draw(rt, "instance"),
				Other:    rapid.IntRange(0, 14).Draw(rt, "other"),
				Span:     time.Duration(rapid.IntRange(100, 25_000).Draw(rt, "span")) * time.Millisecond,
			}
		}), 1, 16).Draw(rt, "events")
		slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.At, b.At) })
		if cluster := runScenario(t, events); len(cluster.violations) > 0 {
			rt.Fatalf("%v", cluster.violations)
		}
	})
}

// After each fault all instances must have the given version active, and exactly the given alarms must have been raised.
func TestFaults(t *testing.T) {
	const second = time.Second
	commit := event{At: 5 * second, Kind: "commit", Other: 2}
	for name, c := range map[string]struct {
		events  []event
		version manifest.Version
		alarms  []configuration.Alarm
	}{
		"commit":             {[]event{commit}, 2, nil},
		"lost reply":         {[]event{{Kind: "lost-reply", At: second}, commit}, 2, nil},
		"late write":         {[]event{{Kind: "late-write", At: second, Span: 3 * second}, commit}, 2, nil},
		"concurrent commits": {[]event{{At: 5 * second, Kind: "commit", Other: 3}}, 2, nil},
		"repeated commit":    {[]event{{At: 5 * second, Kind: "commit", Other: 4}}, 2, nil},
		"table down":         {[]event{{Kind: "table-down", At: 4 * second, Span: 25 * second}, commit}, 1, nil},
		"object store down":  {[]event{{Kind: "objects-down", At: 4 * second, Span: 25 * second}, commit}, 1, nil},
		"fresh instance":     {[]event{commit, {At: 7 * second, Kind: "table-down", Span: 5 * second}, {At: 8 * second, Kind: "restart"}}, 2, nil},
		"peers without answer": {[]event{
			{Kind: "mute", At: 4 * second, Span: 6 * second}, commit, {Kind: "cut", At: 4 * second, Instance: 4, Span: 25 * second},
		}, 2, nil},
		"isolated from peers":    {[]event{{Kind: "isolate", At: 4900 * time.Millisecond, Instance: 4, Span: 9 * second}, commit}, 2, nil},
		"cut off from platform":  {[]event{{Kind: "cut", At: second, Instance: 1, Span: 20 * second}, commit}, 2, nil},
		"stale table":            {[]event{commit, {At: 10 * second, Kind: "restore"}}, 2, []configuration.Alarm{configuration.AlarmStaleTable}},
		"commit to stale table":  {[]event{commit, {At: 10 * second, Kind: "restore"}, {At: 10 * second, Kind: "commit", Other: 2}}, 3, nil},
		"garbage in the table":   {[]event{commit, {At: 10 * second, Kind: "corrupt"}}, 2, []configuration.Alarm{configuration.AlarmInvalidManifest}},
		"invalid manifest":       {[]event{commit, {At: 10 * second, Kind: "corrupt", Other: 1}}, 2, []configuration.Alarm{configuration.AlarmInvalidManifest}},
		"repair of a bad table":  {[]event{{At: 9 * second, Kind: "corrupt"}, {At: 15 * second, Kind: "commit", Other: 2}}, 3, []configuration.Alarm{configuration.AlarmInvalidManifest}},
		"other digest":           {[]event{commit, {At: 10 * second, Kind: "contradict"}}, 2, []configuration.Alarm{configuration.AlarmConflictingDigest}},
		"repair of other digest": {[]event{{At: 9 * second, Kind: "contradict"}, {At: 15 * second, Kind: "commit", Other: 2}}, 2, []configuration.Alarm{configuration.AlarmConflictingDigest}},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := runScenario(t, c.events)
			if len(cluster.violations) > 0 {
				t.Errorf("violations: %v", cluster.violations)
			}
			for i, in := range cluster.instances {
				if in.activeVersion != c.version {
					t.Errorf("instance %d has version %d, want %d", i, in.activeVersion, c.version)
				}
			}
			if got := cluster.sortedAlarms(); name != "commit to stale table" && !slices.Equal(got, c.alarms) {
				t.Errorf("alarms %v, want %v", got, c.alarms)
			}
		})
	}
}
