package gossip

import (
	"fmt"
	"maps"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/replica"
)

// applyTime is the shortest time after which a change has to be in force, and readTime a generous part of it for reading the change.
const (
	applyTime = 2 * clock.Second
	readTime  = 400 * clock.Millis(1)
)

// instancesInVirtualTime are instances of one deployment, each with the datagrams of the others that it would receive.
type instancesInVirtualTime struct {
	clock *clock.Manual
	list  []*Gossip
	// heartbeatAt has the time of the next heartbeat of each instance.
	heartbeatAt []clock.Millis
	// nextStepAt has the time of the next choice of followers by each instance.
	nextStepAt []clock.Millis
	lost       map[int]bool
}

func startInVirtualTime(t *testing.T, domains, perDomain int) *instancesInVirtualTime {
	v := &instancesInVirtualTime{clock: clock.NewManual(1_000_000), lost: map[int]bool{}}
	for n := range domains * perDomain {
		self := Member{ID: poplarwinch.InstanceID(fmt.Sprintf("i%d", n)), Domain: poplarwinch.FailureDomain(fmt.Sprintf("d%d", n%domains))}
		r := replica.New("servers")
		r.Merge(replica.Batch{Version: 1, Complete: true})
		g, err := New(self, WithFleet(fleet.New()), WithLog(&log.Logger{Handler: discard.New()}), WithSuspects(quarantine.New()), WithClock(v.clock.Clock()),
			WithReplicas(map[string]*replica.Replica{"servers": r}))
		if err != nil {
			t.Fatal(err)
		}
		v.list = append(v.list, g)
		v.heartbeatAt = append(v.heartbeatAt, v.clock.Now()+clock.Millis(37*n)%heartbeatInterval)
		v.nextStepAt = append(v.nextStepAt, 0)
	}
	return v
}

// step advances the time by a few milliseconds and passes on the heartbeats that are due, to all instances; every instance chooses the
// followers whenever its loop would.
func (v *instancesInVirtualTime) step() {
	const stepTime clock.Millis = 10
	v.clock.Advance(stepTime)
	now := v.clock.Now()
	for n, g := range v.list {
		if v.lost[n] || v.heartbeatAt[n] > now {
			continue
		}
		v.heartbeatAt[n] = now + heartbeatInterval
		m := g.message()
		g.sequence++
		m.Sequence = g.sequence
		for other, peer := range v.list {
			if other != n && !v.lost[other] {
				peer.receive(g.self.Address, m)
			}
		}
	}
	for n, g := range v.list {
		if !v.lost[n] && v.nextStepAt[n] <= now {
			g.updateFollowing()
			v.nextStepAt[n] = now + g.untilNextStep()
		}
	}
}

func (v *instancesInVirtualTime) run(d clock.Millis) {
	for end := v.clock.Now() + d; v.clock.Now() < end; {
		v.step()
	}
}

// followers returns the number of instances of the failure domain that are not lost and follow the tables.
func (v *instancesInVirtualTime) followers(domain poplarwinch.FailureDomain) int {
	count := 0
	for n, g := range v.list {
		if !v.lost[n] && g.self.Domain == domain && g.following() {
			count++
		}
	}
	return count
}

// Guards against a configuration or a list of servers that stays in force for too long because the instances that read them are lost at
// once, whichever others are lost with them: each failure domain with an instance left has one that reads the tables in time.
func TestChangesAreReadAfterAnyInstancesAreLost(t *testing.T) {
	const domains = 3
	for name, isLost := range map[string]func(v *instancesInVirtualTime, n int) bool{
		"the followers":            func(v *instancesInVirtualTime, n int) bool { return v.list[n].following() },
		"the followers of one":     func(v *instancesInVirtualTime, n int) bool { return n%domains == 1 && v.list[n].following() },
		"most, with the followers": func(v *instancesInVirtualTime, n int) bool { return v.list[n].following() || n >= 2*domains },
		"all but one":              func(v *instancesInVirtualTime, n int) bool { return n != v.firstOther() },
		"all but one of one domain": func(v *instancesInVirtualTime, n int) bool {
			return n%domains == v.firstOther()%domains && n != v.firstOther()
		},
	} {
		for perDomain, followers := range map[int]int{4: smallDeploymentFollowers, 9: largeDeploymentFollowers} {
			t.Run(fmt.Sprintf("%s of %d", name, domains*perDomain), func(t *testing.T) {
				v := startInVirtualTime(t, domains, perDomain)
				v.run(10 * clock.Second)
				for d := range domains {
					if n := v.followers(v.list[d].self.Domain); n != followers {
						t.Fatalf("%d instances of %s follow the tables, want %d", n, v.list[d].self.Domain, followers)
					}
				}
				v.lose(isLost)
				v.run(applyTime - readTime)
				for n, g := range v.list {
					if !v.lost[n] && v.followers(g.self.Domain) == 0 {
						t.Fatalf("nobody in %s reads the tables %d ms after %d instances were lost", g.self.Domain, applyTime-readTime, len(v.lost))
					}
				}
			})
		}
	}
}

// lose ends the instances for which isLost holds, all at once.
func (v *instancesInVirtualTime) lose(isLost func(v *instancesInVirtualTime, n int) bool) {
	lost := map[int]bool{}
	for n := range v.list {
		lost[n] = isLost(v, n)
	}
	maps.DeleteFunc(lost, func(_ int, isLost bool) bool { return !isLost })
	v.lost = lost
}

// firstOther returns the first instance that doesn't follow the tables.
func (v *instancesInVirtualTime) firstOther() int {
	for n, g := range v.list {
		if !g.following() {
			return n
		}
	}
	return -1
}
