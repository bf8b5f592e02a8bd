package peer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/membership"
	"github.com/poplarwinch/poplarwinch/peer"
)

// BenchmarkDomain runs a whole domain in one process: membership, probes and exchanges each second,
// with a new load for each of 290 upstreams from two watchers each second. It reports the traffic
// (sent and received, without TCP/IP headers) and the CPU time per node, and the mean age of a node's
// observations.
func BenchmarkDomain(b *testing.B) {
	const upstreams, span = 290, 15 * time.Second
	for _, size := range []int{8, 30, 90} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			var wait sync.WaitGroup
			nodes := make([]*instance, size)
			defer func() {
				cancel()
				wait.Wait()
				for _, x := range nodes {
					x.stop() // stop all before the cleanup waits for each, which takes a second
				}
			}()
			for i := range nodes {
				nodes[i] = newInstance(b, poplarwinch.InstanceID(fmt.Sprintf("entry-arima-%03d", i)), "arima")
				nodes[i].members.Announce(1700, "sha256:9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08")
			}
			for i, x := range nodes {
				x.members.SetCandidates([]membership.Candidate{{Address: nodes[0].self.Address, FailureDomain: "arima"}})
				wait.Go(func() { _ = x.members.Run(ctx) })
				wait.Go(func() { x.observe(ctx, upstreams, uint64(i)) })
			}
			time.Sleep(10 * time.Second) // until the views converge and all observations have spread
			for b.Loop() {
				bytes, cpu := traffic(nodes), cpuMicros(b)
				time.Sleep(span)
				seconds := span.Seconds() * float64(size)
				b.ReportMetric(float64(traffic(nodes)-bytes)/seconds, "bytes/s/node")
				b.ReportMetric(float64(cpuMicros(b)-cpu)/seconds/1e4, "%core/node")
				b.ReportMetric(meanAge(nodes), "ms-age")
				b.ReportMetric(float64(len(nodes[size-1].members.Snapshot().Live)), "live")
			}
		})
	}
}

// observe simulates the observations of the upstreams that an instance watches.
func (x *instance) observe(ctx context.Context, upstreams int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for clock.System().Sleep(ctx, clock.Second) == nil {
		view := x.members.Snapshot()
		var list []peer.Observation
		for i := range upstreams {
			if o := newObservation(i, clock.System().Now(), random); view.Owns(string(o.ID), 2) {
				list = append(list, o)
			}
		}
		x.mergeObservations(list)
	}
}

func traffic(nodes []*instance) (sum uint64) {
	for _, x := range nodes {
		sent, received := x.Traffic()
		sum += sent + received
	}
	return sum
}

func meanAge(nodes []*instance) float64 {
	var sum, count float64
	now := clock.System().Now()
	for _, x := range nodes {
		for _, o := range x.listObservations() {
			sum += float64(now - o.At)
			count++
		}
	}
	return sum / count
}
