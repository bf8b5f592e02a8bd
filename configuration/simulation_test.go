package configuration_test

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/manifest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	os.Exit(m.Run())
}

// event is one step of a scenario.
type event struct {
	At       time.Duration
	Kind     string
	Instance int
	Other    int
	Span     time.Duration
}

// accepted is a commit that an operator was told is accepted.
type accepted struct {
	id       string
	version  manifest.Version
	exposure [instances]time.Duration // continuous time with a source of this version
}

// simulation runs one scenario and checks the invariants of the configuration.
type simulation struct {
	*world
	ctx      context.Context
	commits  sync.WaitGroup
	accepted []*accepted
	replaced map[manifest.Version]string
	notRun   map[string]bool // false once any attempt may have run
	restored bool
}

const (
	settleTime = 40 * time.Second
	// effectLimit is the time from acceptance, or from the first contact with a source, to activation.
	effectLimit = 8 * time.Second
	sampleTime  = 250 * time.Millisecond
	// viewDelay is the time after which the membership view regards silent peers as dead.
	viewDelay = 10 * time.Second
)

func document(text string) []byte {
	return []byte(fmt.Sprintf(`{"service": "simulated", "final-date": "2100-01-01",
		"limits": {"default-timeout-ms": 1000, "max-timeout-ms": 1000, "max-prompt-tokens": 10},
		"models": [{"name": "m", "version": %q, "context-tokens": 10, "bytes-per-token": 4, "min-engines": 1}],
		"engines": {"checks-fencing-numbers": true, "memory-tokens": 10, "prefill-tokens-per-second": 1, "max-concurrent-loads": 1},
		"customers": [{"id": "c", "weight": 1, "key-hashes": [%q], "max-requests-in-flight": 1, "max-tokens-in-flight": 10,
			"models": ["m"]}]}`, text, manifest.HashKey("key")))
}

// run executes the events in a bubble of virtual time and returns the violations.
func run(t *testing.T, events []event) *world {
	w := newWorld()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &simulation{world: w, ctx: ctx, replaced: map[manifest.Version]string{}, notRun: map[string]bool{}}
		for i := range instances {
			s.start(ctx, i)
		}
		var loops sync.WaitGroup
		loops.Go(func() { s.gossip(ctx) })
		loops.Go(func() { s.sample() })
		s.commit(0, "first", 0)
		begin := time.Now()
		for i, e := range events {
			time.Sleep(e.At - time.Since(begin))
			s.perform(i, e)
		}
		time.Sleep(settleTime)
		s.commits.Wait()
		s.pending.Wait()
		s.finish()
		cancel()
		loops.Wait()
		for i := range instances {
			s.stop(i)
		}
	})
	return w
}

func (s *simulation) perform(number int, e event) {
	id := fmt.Sprintf("commit-%d", number)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	during := func(start, end func()) {
		start()
		s.pending.Go(func() {
			time.Sleep(e.Span)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			end()
		})
	}
	switch e.Kind {
	case "commit":
		replaces := s.nodes[e.Instance].last
		if s.row != nil {
			replaces = max(replaces, manifest.Version(s.row.Version))
		}
		s.commits.Go(func() { s.commit(e.Instance, id, replaces) })
		switch e.Other % 3 {
		case 0: // a concurrent commit with other content
			s.commits.Go(func() { s.commit(e.Other%instances, id+"-other", replaces) })
		case 1: // the same commit, repeated elsewhere
			s.commits.Go(func() { s.commit(e.Other%instances, id, replaces) })
		}
	case "table-down":
		during(func() { s.tableDown = true }, func() { s.tableDown = false })
	case "objects-down":
		during(func() { s.objectsDown = true }, func() { s.objectsDown = false })
	case "mute":
		during(func() { s.mute = true }, func() { s.mute = false })
	case "cut":
		during(func() { s.cut[e.Instance] = true }, func() { s.cut[e.Instance] = false })
	case "isolate":
		during(func() { s.group[e.Instance] = 2 }, func() { s.group = [instances]int{} })
		s.pending.Go(s.follow)
	case "partition":
		during(func() { s.group[e.Instance], s.group[e.Other%instances] = 1, 1 }, func() { s.group = [instances]int{} })
		s.pending.Go(s.follow)
	case "lost-reply", "late-write", "not-written":
		s.puts, s.late = append(s.puts, e.Kind), e.Span
	case "restart":
		s.pending.Go(func() { s.start(s.ctx, e.Instance) })
	case "corrupt":
		s.pending.Go(func() { s.corrupt(e.Other%2 == 0) })
	case "contradict":
		s.pending.Go(s.contradict)
	case "restore":
		s.restored = true
		s.pending.Go(s.restore)
	}
}

// follow updates the membership view some time after the network changed.
func (s *simulation) follow() {
	time.Sleep(viewDelay)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.viewed = s.group
}

func (s *simulation) commit(i int, id string, replaces manifest.Version) {
	s.mutex.Lock()
	store := s.nodes[i].store
	s.mutex.Unlock()
	version, err := store.Commit(s.ctx, document(id), replaces, id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var e *poplarwinch.Error
	if err != nil {
		known, seen := s.notRun[id]
		s.notRun[id] = errors.As(err, &e) && e.Outcome == poplarwinch.OutcomeNotRun && (known || !seen)
		return
	}
	s.notRun[id] = false
	if first, ok := s.replaced[replaces]; ok && first != id && !s.restored {
		s.violations = append(s.violations, fmt.Sprintf("commits %s and %s were both accepted for version %d", first, id, replaces))
	}
	s.replaced[replaces] = id
	s.accepted = append(s.accepted, &accepted{id: id, version: version})
}

// sample checks again and again that accepted versions become active in time.
func (s *simulation) sample() {
	for s.ctx.Err() == nil {
		time.Sleep(sampleTime)
		for i := range instances {
			s.check(i)
		}
	}
}

func (s *simulation) check(i int) {
	group := append(s.reachable(i), s.nodes[i])
	s.mutex.Lock()
	defer s.mutex.Unlock()
	own := s.nodes[i]
	for _, a := range s.accepted {
		if own.last == 0 || own.last >= a.version || !s.exposed(i, group, a.version) {
			a.exposure[i] = 0
			continue
		}
		if a.exposure[i] += sampleTime; a.exposure[i] > effectLimit {
			s.violations = append(s.violations, fmt.Sprintf("instance %d has version %d, not the accepted %d, after %v with a source",
				i, own.last, a.version, a.exposure[i]))
			a.exposure[i] = -time.Hour
		}
	}
}

// exposed reports whether an instance that i reaches has the version, or reads the table every 2 s and reaches it.
func (s *simulation) exposed(i int, group []*node, version manifest.Version) bool {
	if s.mute {
		return false
	}
	for _, n := range group {
		if n.last >= version {
			return true
		}
	}
	if s.tableDown || s.objectsDown || !s.usable() || s.row.Version < uint64(version) {
		return false
	}
	if len(group) == 1 {
		return !s.cut[i]
	}
	for j := range instances {
		lower := 0
		for k := range j {
			if s.viewed[k] == s.viewed[j] {
				lower++
			}
		}
		if s.group[j] == s.group[i] && !s.cut[j] && lower < 2 && s.nodes[j].last > 0 {
			return true
		}
	}
	return false
}

// finish checks what has to hold once all faults are over.
func (s *simulation) finish() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	written := s.world.commits()
	for id, notRun := range s.notRun {
		if _, ok := written[id]; ok && notRun {
			s.violations = append(s.violations, "commit "+id+" was reported as not run but is in the table")
		}
	}
	for _, a := range s.accepted {
		if written[a.id] != a.version {
			s.violations = append(s.violations, "commit "+a.id+" was accepted but is not in the table")
		}
	}
	for i, n := range s.nodes {
		// If the row is corrupt, fresh instances may have no source at all.
		if n.last != s.nodes[0].last || n.last == 0 && s.usable() {
			s.violations = append(s.violations, fmt.Sprintf("instance %d ends with version %d, instance 0 with %d", i, n.last, s.nodes[0].last))
		}
	}
	if s.world.alarms[configuration.AlarmStaleTable] > 0 && !s.restored {
		s.violations = append(s.violations, "a stale table was reported although the table never was older")
	}
	if s.row != nil && s.row.Version < uint64(s.nodes[0].last) {
		s.violations = append(s.violations, fmt.Sprintf("the table ends with version %d, the instances have %d", s.row.Version, s.nodes[0].last))
	}
}

var kinds = []string{
	"commit", "commit", "commit", "commit", "table-down", "objects-down", "mute", "cut", "cut", "partition", "isolate",
	"lost-reply", "late-write", "not-written", "restart", "corrupt", "restore",
}

// No combination of faults may move an instance back, lose an accepted commit, accept two commits for one version or
// report a commit that took effect as not run.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				At:       time.Duration(rapid.IntRange(0, 60_000).Draw(rt, "at")) * time.Millisecond,
				Kind:     rapid.SampledFrom(kinds).Draw(rt, "kind"),
				Instance: rapid.IntRange(0, instances-1).Draw(rt, "instance"),
				Other:    rapid.IntRange(0, 14).Draw(rt, "other"),
				Span:     time.Duration(rapid.IntRange(100, 25_000).Draw(rt, "span")) * time.Millisecond,
			}
		}), 1, 16).Draw(rt, "events")
		slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.At, b.At) })
		if w := run(t, events); len(w.violations) > 0 {
			rt.Fatalf("%v", w.violations)
		}
	})
}

// Each case is a fault that must leave the instances at the given version and raise the given alarms.
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
			w := run(t, c.events)
			if len(w.violations) > 0 {
				t.Errorf("violations: %v", w.violations)
			}
			for i, n := range w.nodes {
				if n.last != c.version {
					t.Errorf("instance %d has version %d, want %d", i, n.last, c.version)
				}
			}
			if got := w.sortedAlarms(); name != "commit to stale table" && !slices.Equal(got, c.alarms) {
				t.Errorf("alarms %v, want %v", got, c.alarms)
			}
		})
	}
}
