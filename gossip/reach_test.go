package gossip_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/gossip"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

// deploymentSize is the number of instances of the tests of large deployments. The race detector bears no more than the default.
var deploymentSize = flag.Int("instances", 120, "instances of a large deployment")

// learningTime is the time in which all instances have to learn of a part that crashes servers.
const learningTime = 3 * time.Second

// startWithSuspects starts instances of three failure domains that exchange what crashes servers, and waits until they know each other.
func startWithSuspects(t *testing.T, instances int, now *clock.Clock) (list []*instance, suspects []*quarantine.Register) {
	t.Helper()
	var members []gossip.Member
	for n := range instances {
		var i *instance
		register := quarantine.New(quarantine.WithClock(now), quarantine.WithOnChange(func() { i.gossip.ScheduleUpdate(fleet.ReachBusy) }))
		domain := poplarwinch.FailureDomain(fmt.Sprintf("d%d", n%3))
		i = start(t, poplarwinch.InstanceID(fmt.Sprintf("i%d", n)), domain, snapshotAt(3), gossip.WithSuspects(register))
		list, suspects, members = append(list, i), append(suspects, register), append(members, i.gossip.Self())
	}
	for _, i := range list {
		i.gossip.Add(members)
		i.gossip.ScheduleUpdate(fleet.ReachAll) // as after the registration
	}
	eventually(t, "all know most of the others", func() bool {
		for _, i := range list {
			if i.gossip.Alive() < instances*9/10 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second) // the cells are determined once a second
	return list, suspects
}

// Guards against a part of prompts that goes on crashing servers because a large deployment learns of it late, or only in part: five
// crashes, each seen by another instance, among many more suspects, block it at all instances, and no harmless part at any.
func TestCrashingPartReachesAllInstances(t *testing.T) {
	instances := *deploymentSize
	now := clock.Monotonic()
	_, suspects := startWithSuspects(t, instances, now)
	prompt := func(name string, parts ...poplarwinch.PromptPartID) quarantine.PromptSuspects {
		return quarantine.NewPromptSuspects(quarantine.FingerprintOf("c", "m", []byte(name)), parts)
	}
	for n := range 5 {
		crash := quarantine.Death{Upstream: poplarwinch.UpstreamID(fmt.Sprintf("e%d", n)), At: now.Now(), Silence: 50}
		suspects[n*61%instances].RecordCrash(prompt(fmt.Sprint("r", n), "instructions", "bad"), crash)
		for b := range 40 {
			suspects[(n*61+7*b)%instances].RecordCrash(prompt(fmt.Sprint("b", n, b), "instructions", poplarwinch.PromptPartID(fmt.Sprint("s", n, b))), crash)
		}
		time.Sleep(100 * time.Millisecond)
	}
	suspects[17].RecordAnswer(prompt("answered", "instructions"), now.Now())
	time.Sleep(learningTime)
	missing, wrong := 0, 0
	for _, r := range suspects {
		if !r.Rule(prompt("new", "instructions", "bad")).Blocked {
			missing++
		}
		if r.Rule(prompt("new", "instructions", "good")).Blocked {
			wrong++
		}
	}
	if missing > 0 || wrong > 0 {
		t.Errorf("3 s after the fifth crash %d of %d instances don't block the part, and %d block a harmless one", missing, instances, wrong)
	}
}

// Guards against a part that goes on crashing servers because it comes late in long prompts: of hundreds of parts in each, no two prompts
// share another one, and each crash is seen by another instance. Small deployments send all changes to all peers, large ones between cells.
func TestCrashingPartOfLongPromptsReachesAllInstances(t *testing.T) {
	for _, instances := range []int{24, *deploymentSize / 2} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) { testLongPrompts(t, instances) })
	}
}

// testLongPrompts plays crashes by long prompts in a deployment.
func testLongPrompts(t *testing.T, instances int) {
	const parts = 400
	now := clock.Monotonic()
	list, suspects := startWithSuspects(t, instances, now)
	prompt := func(name string) quarantine.PromptSuspects {
		var ids []poplarwinch.PromptPartID
		for p := range parts {
			ids = append(ids, poplarwinch.PromptPartID(fmt.Sprint(name, "-", p)))
		}
		ids[parts-2] = "bad"
		return quarantine.NewPromptSuspects(quarantine.FingerprintOf("c", "m", []byte(name)), ids)
	}
	sent := func() (most, sum int64) {
		for _, i := range list {
			most, sum = max(most, i.gossip.BytesSent()), sum+i.gossip.BytesSent()
		}
		return most, sum
	}
	mostBefore, sumBefore := sent()
	time.Sleep(time.Second)
	mostIdle, sumIdle := sent()
	t.Logf("without a crash, %d instances send %d KB a second on average, the busiest %d", instances, (sumIdle-sumBefore)/1000/int64(instances), (mostIdle-mostBefore)/1000)
	for n := range 5 {
		crash := quarantine.Death{Upstream: poplarwinch.UpstreamID(fmt.Sprintf("e%d", n)), At: now.Now(), Silence: 50}
		suspects[n*61%instances].RecordCrash(prompt(fmt.Sprint("r", n)), crash)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(learningTime)
	mostAfter, sumAfter := sent()
	t.Logf("in the 4 s of five crashes they send %d KB on average, the busiest %d", (sumAfter-sumIdle)/1000/int64(instances), (mostAfter-mostIdle)/1000)
	missing := 0
	for _, r := range suspects {
		if !r.Rule(prompt("new")).Blocked {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("3 s after the fifth crash %d of %d instances don't block the part", missing, instances)
	}
}
