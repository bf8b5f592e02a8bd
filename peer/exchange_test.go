package peer_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"syscall"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/membership"
	"github.com/poplarwinch/poplarwinch/peer"
)

func newObservation(i int, at clock.Millis, r *rand.Rand) peer.Observation {
	return peer.Observation{
		ID: poplarwinch.UpstreamID(fmt.Sprintf("drafting-%03d", i)), At: at, State: "up", BootID: fmt.Sprintf("boot-%08x", i), Role: "both",
		Load: peer.Load{
			Running: r.IntN(64), Waiting: r.IntN(8), WaitingPrefillTokens: poplarwinch.Tokens(r.IntN(400_000)),
			KVUsedTokens: poplarwinch.Tokens(r.IntN(2_000_000)), KVCapacityTokens: 2_000_000,
			PrefillTokensPerSec: 20_000, ReportAge: clock.Millis(r.IntN(2000)),
		},
		Models: []peer.LoadedModel{{Name: "drafting", Version: "2026-11-03", Adapters: []peer.LoadedAdapter{{Name: "letter", Version: "4"}}}},
	}
}

// An exchange must leave both sides with the newest observation of each upstream, whatever they had before.
func TestExchangeLeavesBothSidesUpToDate(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	x, y := newInstance(t, "x", "arima"), newInstance(t, "y", "arima")
	for round := range 30 {
		newest := map[poplarwinch.UpstreamID]peer.Observation{}
		for i := range 40 {
			for _, side := range []*instance{x, y} {
				if random.IntN(3) == 0 {
					o := newObservation(i, clock.Millis(1e12+round*1000+random.IntN(900)), random)
					o.State = []string{"up", "up", "leaving", "down"}[random.IntN(4)]
					side.mergeObservations([]peer.Observation{o})
				}
				for _, o := range side.listObservations() {
					if o.At > newest[o.ID].At {
						newest[o.ID] = o
					}
				}
			}
		}
		x.exchange(t, y)
		for _, side := range []*instance{x, y} {
			if !reflect.DeepEqual(side.observations, newest) {
				t.Fatalf("round %d: %s is not up to date", round, side.self.ID)
			}
		}
	}
}

// An exchange must send only changes; sending the full state each second would be too much traffic.
func TestExchangeSendsOnlyChanges(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	x, y := newInstance(t, "x", "arima"), newInstance(t, "y", "arima")
	for i := range 50 {
		x.mergeObservations([]peer.Observation{newObservation(i, 1e12, random)})
	}
	suspect := peer.Suspect{Fingerprint: [16]byte{9}, Crashes: []peer.Crash{{Upstream: "engine-1", At: 5}}}
	x.mergeSuspects([]peer.Suspect{suspect})
	x.members.Merge([]membership.Member{{ID: "z", Address: "127.0.0.1:1", FailureDomain: "arima", Incarnation: 1, State: membership.StateAlive}})
	x.exchange(t, y)
	y.exchange(t, x) // each direction's first exchange sends the members
	if len(y.observations) != 50 || len(y.suspects) != 1 || len(y.members.Snapshot().Live) != 3 {
		t.Fatalf("after the first exchanges y has %d observations, %d suspects, %d members", len(y.observations), len(y.suspects), len(y.members.Snapshot().Live))
	}
	x.received, y.received = 0, 0
	x.exchange(t, y)
	y.exchange(t, x)
	if x.received+y.received > 0 {
		t.Errorf("%d unchanged observations were sent again", x.received+y.received)
	}
	if records := x.members.NewRequest(y.self).Records; len(records) > 0 {
		t.Errorf("unchanged records %+v would be sent again", records)
	}
	x.mergeObservations([]peer.Observation{newObservation(7, 1e12+1, random)})
	y.exchange(t, x)
	if y.received != 1 {
		t.Errorf("%d observations were sent for one change", y.received)
	}
}

// Observations and members must stay within the domain; suspects and manifest versions must reach other domains.
func TestExchangeBetweenDomains(t *testing.T) {
	t.Parallel()
	x, y := newInstance(t, "x", "arima"), newInstance(t, "y", "chaguanas")
	x.mergeObservations([]peer.Observation{newObservation(1, 1e12, rand.New(rand.NewPCG(1, 1)))})
	x.mergeSuspects([]peer.Suspect{{Fingerprint: [16]byte{9}}})
	y.mergeSuspects([]peer.Suspect{{Fingerprint: [16]byte{8}}})
	y.members.Announce(12, "d")
	x.exchange(t, y)
	if len(y.observations) != 0 || len(y.members.Snapshot().Known) != 1 || len(x.members.Snapshot().Known) != 1 {
		t.Error("observations or members crossed into another domain")
	}
	if len(y.suspects) != 2 || len(x.suspects) != 2 || x.offeredVersion != 12 {
		t.Errorf("suspects %d and %d, version %d; want 2, 2, 12", len(x.suspects), len(y.suspects), x.offeredVersion)
	}
	if len(x.members.Snapshot().Contacts["chaguanas"]) != 1 || len(y.members.Snapshot().Contacts["arima"]) != 1 {
		t.Error("the instances did not become each other's contacts")
	}
}

// Suspects must reach other domains at once: an instance that learns of one only at the next exchange
// would run a repeated copy of the crashing request.
func TestNotifyForwardsSuspectsToOtherDomains(t *testing.T) {
	t.Parallel()
	x, delegate := newInstance(t, "x", "arima"), newInstance(t, "delegate", "arima")
	contact, z := newInstance(t, "contact", "chaguanas"), newInstance(t, "z", "chaguanas")
	delegate.exchange(t, contact)
	x.exchange(t, delegate)
	contact.exchange(t, z)
	suspect := peer.Suspect{Fingerprint: [16]byte{7}}
	if err := x.Notify(t.Context(), peer.Notice{Suspects: []peer.Suspect{suspect}, ManifestVersion: 4}); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*instance{delegate, contact, z} {
		if _, ok := r.suspects[suspect.Fingerprint]; !ok {
			t.Errorf("%s does not know the suspect", r.self.ID)
		}
	}
	if len(x.suspects) != 0 || z.offeredVersion != 0 {
		t.Errorf("the notifying instance got %d of its own suspects back, or version %d reached another domain", len(x.suspects), z.offeredVersion)
	}
}

// BenchmarkExchange measures an exchange in which all loads have changed, about half of them on each
// side. A node starts one exchange and answers one each second, so its traffic per second is twice
// "bytes/exchange", and its CPU time per second is "cpu-us/exchange", which covers both sides. "bytes/join"
// is the traffic of the first exchange in each direction with an instance that knows no other member.
func BenchmarkExchange(b *testing.B) {
	const upstreams = 290
	for _, members := range []int{8, 30, 90, 180} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			x, y := newInstance(b, "x", "arima"), newInstance(b, "y", "arima")
			for i := range members - 2 {
				x.members.Merge([]membership.Member{{
					ID: poplarwinch.InstanceID(fmt.Sprintf("entry-arima-%03d", i)), Address: fmt.Sprintf("10.20.30.%d:7946", i),
					FailureDomain: "arima", Incarnation: 1_790_000_000_000, State: membership.StateAlive,
				}})
			}
			for _, side := range []*instance{x, y} {
				side.members.Announce(1700, "sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08")
				for i := range upstreams {
					side.mergeObservations([]peer.Observation{newObservation(i, 1e12, random)})
				}
			}
			sent, received := x.Traffic()
			x.exchange(b, y)
			y.exchange(b, x)
			s, r := x.Traffic()
			first := s + r - sent - received
			var bytes uint64
			var cpu int64
			for n := 1; b.Loop(); n++ {
				b.StopTimer()
				for i := range upstreams {
					side := []*instance{x, y}[random.IntN(2)]
					side.mergeObservations([]peer.Observation{newObservation(i, clock.Millis(1e12+n*1000+random.IntN(900)), random)})
				}
				sent, received := x.Traffic()
				before := cpuMicros(b)
				b.StartTimer()
				x.exchange(b, y)
				b.StopTimer()
				cpu += cpuMicros(b) - before
				s, r := x.Traffic()
				bytes += s + r - sent - received
				b.StartTimer()
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/exchange")
			b.ReportMetric(float64(cpu)/float64(b.N), "cpu-us/exchange")
			b.ReportMetric(float64(first), "bytes/join")
		})
	}
}

func cpuMicros(b *testing.B) int64 {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return (u.Utime.Sec+u.Stime.Sec)*1e6 + u.Utime.Usec + u.Stime.Usec
}
