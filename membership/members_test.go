package membership_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/membership"
)

// Bounds for domains of up to 12 members, in virtual time.
const (
	// convergenceBound is the time from the last fault until all views agree: a few seconds until a
	// failed member is probed, 10 s until it is dead, and the rounds that spread the records.
	convergenceBound = 20 * time.Second
	// falseDeathBound is the longest time for which a running and reachable member may be recorded as dead.
	falseDeathBound = 8 * time.Second
	// deathDetectionBound is the time until a crashed member is dead in all views.
	deathDetectionBound = 15 * time.Second
)

// TestMain sets a fixed seed for rapid unless -rapid.seed is given, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const domain = poplarwinch.FailureDomain("arima")

var seed = membership.Candidate{Address: address(domain, 0), FailureDomain: domain}

func start(n *network, size int) []*node {
	var nodes []*node
	for i := range size {
		nodes = append(nodes, n.add(domain, i, seed))
	}
	return nodes
}

// runScenario runs a scenario in virtual time and returns its failure. Scenarios return failures because
// the panics that rapid uses for them must not leave the synctest bubble.
func runScenario(t *testing.T, seed uint64, scenario func(n *network) string) (failure string) {
	synctest.Test(t, func(*testing.T) {
		n := newNetwork(seed)
		failure = scenario(n)
		n.stop()
	})
	return failure
}

// Views that still differ after a fault would assign upstreams and other keys to different owners.
func TestViewsAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		random := rapid.Uint64().Draw(r, "random")
		size := rapid.IntRange(2, 12).Draw(r, "size")
		loss := rapid.Float64Range(0, 0.2).Draw(r, "loss")
		type fault struct {
			kind   string
			node   int
			length time.Duration
		}
		var faults []fault
		for range rapid.IntRange(1, 5).Draw(r, "faults") {
			faults = append(faults, fault{
				rapid.SampledFrom([]string{"partition", "pause", "crash", "restart", "calm"}).Draw(r, "kind"),
				rapid.IntRange(0, size-1).Draw(r, "node"),
				time.Duration(rapid.IntRange(1, 40).Draw(r, "seconds")) * time.Second,
			})
		}
		failure := runScenario(t, random, func(n *network) string {
			nodes := start(n, size)
			if _, failure := waitUntil(convergenceBound, n.disagreement); failure != "" {
				return "at the start: " + failure
			}
			n.setLoss(loss)
			crashed := map[int]bool{}
			for _, f := range faults {
				switch f.kind {
				case "partition":
					n.partition(func(a string) int {
						if a <= address(domain, f.node) {
							return 1
						}
						return 0
					})
				case "pause":
					n.pause(nodes[f.node])
				case "restart":
					if !crashed[f.node] {
						n.pause(nodes[f.node])
						nodes[f.node] = n.add(domain, f.node, seed)
					}
				case "crash":
					if len(crashed) < size-1 {
						crashed[f.node] = true
						n.pause(nodes[f.node])
					}
				}
				time.Sleep(f.length)
				n.partition(func(string) int { return 0 })
				if f.kind == "pause" && !crashed[f.node] {
					n.resume(nodes[f.node])
				}
			}
			n.setLoss(0)
			_, failure := waitUntil(convergenceBound, n.disagreement)
			return failure
		})
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

// A live member that is recorded as dead loses the keys it owns and gets no notices.
func TestReachableMemberIsNotDeadForLong(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		random := rapid.Uint64().Draw(r, "random")
		size := rapid.IntRange(3, 12).Draw(r, "size")
		loss := rapid.Float64Range(0, 0.15).Draw(r, "loss")
		victim := rapid.IntRange(0, size-1).Draw(r, "victim")
		pause := time.Duration(rapid.IntRange(1, 60).Draw(r, "pause")) * time.Second
		failure := runScenario(t, random, func(n *network) string {
			nodes := start(n, size)
			time.Sleep(convergenceBound)
			n.setLoss(loss)
			n.pause(nodes[victim])
			time.Sleep(pause)
			n.resume(nodes[victim])
			since := map[string]time.Time{}
			for start := time.Now(); time.Since(start) < 2*time.Minute; time.Sleep(100 * time.Millisecond) {
				for _, x := range nodes {
					for _, k := range x.Snapshot().Known {
						pair := x.address + " lists as dead " + k.Address
						if k.State != membership.StateDead {
							delete(since, pair)
						} else if _, ok := since[pair]; !ok {
							since[pair] = time.Now()
						} else if time.Since(since[pair]) > falseDeathBound {
							return pair
						}
					}
				}
			}
			return ""
		})
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

// Declaring a healthy member dead would move its keys without need. Without faults no member may even
// become suspect.
func TestNoDeathsWithoutFaults(t *testing.T) {
	failure := runScenario(t, 1, func(n *network) string {
		nodes := start(n, 12)
		time.Sleep(convergenceBound)
		for range 600 {
			time.Sleep(time.Second)
			for _, x := range nodes {
				for _, k := range x.Snapshot().Known {
					if k.State != membership.StateAlive {
						return fmt.Sprintf("%s lists %s as %s", x.address, k.Address, k.State)
					}
				}
			}
		}
		return ""
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// Two members that cannot reach each other, while all others reach both, must not declare each other dead.
func TestCutPairStaysAlive(t *testing.T) {
	failure := runScenario(t, 1, func(n *network) string {
		nodes := start(n, 5)
		time.Sleep(convergenceBound)
		n.mutex.Lock()
		n.cutPair = [2]string{nodes[0].address, nodes[1].address}
		n.mutex.Unlock()
		for range 1200 {
			time.Sleep(100 * time.Millisecond)
			if difference := n.disagreement(); difference != "" {
				return difference
			}
		}
		return ""
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// A crashed or leaving member must not keep the keys it owns.
func TestEndedMembersAreRemoved(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(n *network, x *node)
		bound time.Duration
	}{
		"crash": {func(n *network, x *node) { n.pause(x) }, deathDetectionBound},
		"leave": {func(n *network, x *node) { x.Leave(context.Background()); n.pause(x) }, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			failure := runScenario(t, 1, func(n *network) string {
				nodes := start(n, 12)
				time.Sleep(convergenceBound)
				c.end(n, nodes[5])
				took, failure := waitUntil(c.bound, n.disagreement)
				t.Logf("removed everywhere after %v", took)
				return failure
			})
			if failure != "" {
				t.Fatal(failure)
			}
		})
	}
}

// Guards against a manifest that is in force nowhere within 8 s because all members that read its row have crashed at once, alone or with
// others: somebody else must count as their successor in time for a poll, which comes each 2 s.
func TestReadersThatCrashTogetherAreReplaced(t *testing.T) {
	const key, readers, bound = "manifest-row", 2, 6 * time.Second
	for _, size := range []int{3, 6, 12, 32} {
		for _, others := range []int{0, size / 3} {
			failure := runScenario(t, 1, func(n *network) string {
				nodes := start(n, size)
				if _, failure := waitUntil(convergenceBound, n.disagreement); failure != "" {
					return failure
				}
				owners := nodes[0].Snapshot().Owners(key, readers)
				crashed := 0
				for _, x := range nodes {
					isOwner := slices.Contains(owners, poplarwinch.InstanceID(x.address))
					if isOwner || crashed < others && size > readers+others {
						n.pause(x)
						if !isOwner {
							crashed++
						}
					}
				}
				took, failure := waitUntil(bound, func() string {
					for _, x := range n.running() {
						if x.Snapshot().ShouldOwn(key, readers) {
							return ""
						}
					}
					return "nobody reads the row"
				})
				t.Logf("%d members, %d readers and %d others crashed: replaced after %v", size, readers, crashed, took)
				return failure
			})
			if failure != "" {
				t.Errorf("%d members: %s %s after the crash of its readers and %d others", size, failure, bound, others)
			}
		}
	}
}

// A member that joins during the others' probe cycle must be probed in that cycle. Otherwise its crash
// stays undetected for up to one second per member of the domain.
func TestCrashesInALargeDomainAreDetected(t *testing.T) {
	failure := runScenario(t, 3, func(n *network) string {
		nodes := start(n, 90)
		if _, failure := waitUntil(convergenceBound, n.disagreement); failure != "" {
			return failure
		}
		for i := 0; i < len(nodes); i += 9 {
			n.pause(nodes[i])
		}
		took, failure := waitUntil(20*time.Second, n.disagreement)
		t.Logf("removed everywhere after %v", took)
		return failure
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// Without contacts between the delegates, a suspect's fingerprint or a manifest version would not reach other domains.
func TestDelegatesFindOtherDomains(t *testing.T) {
	failure := runScenario(t, 1, func(n *network) string {
		domains := []poplarwinch.FailureDomain{"arima", "chaguanas", "port-of-spain"}
		var list []membership.Candidate
		for _, d := range domains {
			for i := range 9 {
				list = append(list, membership.Candidate{Address: address(d, i), FailureDomain: d})
			}
		}
		for _, c := range list {
			var i int
			fmt.Sscanf(c.Address, string(c.FailureDomain)+"-%d", &i)
			n.add(c.FailureDomain, i).SetCandidates(list)
		}
		check := func() string {
			if d := n.disagreement(); d != "" {
				return d
			}
			for _, x := range n.running() {
				view := x.Snapshot()
				for _, other := range domains {
					if other == x.domain {
						continue
					}
					contacts := len(view.Contacts[other])
					if contacts > 4 {
						return fmt.Sprintf("%s keeps %d contacts in %s", x.address, contacts, other)
					}
					for _, id := range view.Delegates(other) {
						if id == view.Self.ID && contacts == 0 {
							return fmt.Sprintf("%s has no contact in %s", x.address, other)
						}
					}
				}
			}
			return ""
		}
		if _, failure := waitUntil(convergenceBound, check); failure != "" {
			return failure
		}
		// The delegates of a domain are replaced when they crash.
		for _, id := range n.nodes["arima-0"].Snapshot().Delegates("chaguanas") {
			n.pause(n.nodes[string(id)])
		}
		if _, failure := waitUntil(convergenceBound, check); failure != "" {
			return failure
		}
		// After a partition between domains, manifest versions spread between them again.
		n.partition(func(a string) int { return int(a[0]) })
		time.Sleep(10 * time.Minute)
		n.partition(func(string) int { return 0 })
		for _, x := range n.running() {
			if x.domain == "chaguanas" {
				x.Announce(9, "sha256:09")
			}
		}
		_, failure := waitUntil(20*time.Second, func() string {
			for _, x := range n.running() {
				view := x.Snapshot()
				announced := slices.ContainsFunc(view.Contacts["chaguanas"], func(c membership.Member) bool { return c.ManifestVersion == 9 })
				if x.domain != "chaguanas" && slices.Contains(view.Delegates("chaguanas"), view.Self.ID) && !announced {
					return x.address + " has no contact in chaguanas with version 9"
				}
			}
			return ""
		})
		return failure
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// A process that was paused must not count the pause towards the suspicion timeout of its suspects.
func TestPausedProcessDoesNotDeclareDeaths(t *testing.T) {
	failure := runScenario(t, 1, func(n *network) string {
		nodes := start(n, 2)
		time.Sleep(convergenceBound)
		n.partition(func(a string) int { return len(a) + int(a[len(a)-1]) })
		suspects := func() string {
			if k, _ := nodes[0].Snapshot().Member("arima-1"); k.State != membership.StateSuspect {
				return "arima-1 is " + string(k.State)
			}
			return ""
		}
		if _, failure := waitUntil(10*time.Second, suspects); failure != "" {
			return failure
		}
		n.pause(nodes[0])
		n.partition(func(string) int { return 0 })
		time.Sleep(time.Minute)
		n.resume(nodes[0])
		for range 3000 {
			time.Sleep(time.Millisecond) // a false death lasts only until the next exchange
			if k, _ := nodes[0].Snapshot().Member("arima-1"); k.State == membership.StateDead {
				return "arima-1 was declared dead"
			}
		}
		return n.disagreement()
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// Operators check by the peers' manifest versions whether a commit is active on all instances.
func TestManifestVersionsAreSeenByPeers(t *testing.T) {
	failure := runScenario(t, 1, func(n *network) string {
		nodes := start(n, 6)
		time.Sleep(convergenceBound)
		nodes[3].Announce(7, "sha256:07")
		_, failure := waitUntil(convergenceBound, func() string {
			for _, x := range nodes {
				if k, _ := x.Snapshot().Member("arima-3"); k.ManifestVersion != 7 || k.ManifestDigest != "sha256:07" {
					return fmt.Sprintf("%s sees %+v", x.address, k)
				}
			}
			return ""
		})
		return failure
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// A stale or empty instance list must not remove live members.
func TestListRemovesNoMember(t *testing.T) {
	failure := runScenario(t, 1, func(n *network) string {
		nodes := start(n, 3)
		time.Sleep(convergenceBound)
		for _, x := range nodes {
			x.SetCandidates(nil)
		}
		time.Sleep(convergenceBound)
		return n.disagreement()
	})
	if failure != "" {
		t.Fatal(failure)
	}
}
