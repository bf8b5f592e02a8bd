package configuration_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// runRestore runs steps in virtual time on a cluster whose instances have version 1, and checks the invariants at the end.
func runRestore(t *testing.T, steps func(s *simulation)) *simulatedCluster {
	t.Helper()
	cluster := newCluster()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &simulation{simulatedCluster: cluster, ctx: ctx, acceptedFor: map[manifest.Version]string{}, reportedNotRun: map[string]bool{}, restored: true}
		for i := range instanceCount {
			s.start(ctx, i)
		}
		var loops sync.WaitGroup
		loops.Go(func() { s.gossip(ctx) })
		s.commit(0, "first", 0)
		time.Sleep(5 * time.Second)
		steps(s)
		time.Sleep(settleTime)
		s.background.Wait()
		s.checkFinalState()
		s.checkDigests()
		cancel()
		loops.Wait()
		for i := range instanceCount {
			s.stop(i)
		}
	})
	for _, v := range cluster.violations {
		t.Error(v)
	}
	return cluster
}

// checkDigests records a violation if the instances have different manifests.
func (s *simulation) checkDigests() {
	for i := range instanceCount {
		if got, want := s.digest(i), s.digest(0); got != want {
			s.recordViolation("instance %d ends with digest %.8s, instance 0 with %.8s", i, got, want)
		}
	}
}

func (s *simulation) digest(i int) string {
	if active := s.instances[i].store.Active(); active != nil {
		return active.Digest
	}
	return ""
}

// setCut cuts instance i off from the platform, or ends the cut.
func (s *simulation) setCut(i int, cut bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.platformCut[i] = cut
}

// Guards against a commit for a version that peers have already, through an instance without a manifest.
func TestCommitThroughFreshInstanceAfterRestore(t *testing.T) {
	runRestore(t, func(s *simulation) {
		s.commit(0, "second", 1)
		time.Sleep(time.Second)
		s.start(s.ctx, 4)
		for i := range 4 {
			s.setCut(i, true)
		}
		s.restoreFirstRow()
		_, err := s.instances[4].store.Commit(s.ctx, document("other"), 1, "other")
		var e *poplarwinch.Error
		if !errors.As(err, &e) || e.Kind != poplarwinch.KindConflict {
			s.recordViolation("the commit that replaces a replaced version returned %v, want a conflict", err)
		}
		for i := range 4 {
			s.setCut(i, false)
		}
	})
}
