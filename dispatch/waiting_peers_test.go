package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/dispatch"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// playPeers plays three instances of a cell that share an engine: one has urgent requests, the others less urgent ones for more than the
// engine's slots. It returns the shares served within 1 s by class. exchange says that instances tell each other the classes of waiting requests.
func playPeers(t *testing.T, seed uint64, exchange bool) (share [2]float64) {
	var mutex sync.Mutex
	var sent, served [2]float64
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(seed, 3))
		var instances []*fixture
		slots := make(chan struct{}, 16)
		for range 3 {
			f := newFixture(t)
			f.busyEngine(0)
			f.answer = func(ctx context.Context, _ int, _ *dispatch.Call) (*dispatch.Answer, error) {
				body, writer := io.Pipe()
				go func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					_ = f.sleep(ctx, 40*time.Millisecond)
					_, _ = io.WriteString(writer, "id: 1\ndata: a\n\n")
					_ = f.sleep(ctx, 400*time.Millisecond)
					_ = writer.Close()
				}()
				return &dispatch.Answer{Status: http.StatusOK, Length: -1, Body: body}, nil
			}
			instances = append(instances, f)
		}
		var runs sync.WaitGroup
		for step := range 1000 {
			time.Sleep(time.Duration(fleet.PropagationDelay) * time.Millisecond)
			for n, from := range instances {
				report := from.fleet.Report()
				if !exchange {
					report.Waiting = fleet.WithoutClasses(report.Waiting)
				}
				for k, to := range instances {
					if k != n {
						to.fleet.Merge(poplarwinch.InstanceID(fmt.Sprint(n)), report)
					}
				}
			}
			if step >= 700 {
				continue
			}
			for n, f := range instances {
				if r.Float64() >= 0.12 { // 20 requests a second of each instance; the engine serves 34
					continue
				}
				class := min(n, 1)
				runs.Go(func() {
					began := time.Now()
					o := f.run(t.Context(), f.prioritized(class, fmt.Sprint(n)))
					mutex.Lock()
					defer mutex.Unlock()
					if sent[class]++; o.err == nil && time.Since(began) < time.Second {
						served[class]++
					}
				})
			}
		}
		runs.Wait()
		for _, f := range instances {
			f.dispatcher.Wait()
		}
	})
	return [2]float64{served[0] / sent[0], served[1] / sent[1]}
}

// Guards against urgent requests that are rejected at one instance while others give the free slots to less urgent ones.
func TestUrgentRequestsOfPeersComeFirst(t *testing.T) {
	var with, without [2]float64
	const seeds = 3
	for seed := range uint64(seeds) {
		a, b := playPeers(t, seed, true), playPeers(t, seed, false)
		for class := range a {
			with[class] += a[class] / seeds
			without[class] += b[class] / seeds
		}
	}
	t.Logf("served: urgent %.3f, others %.3f; without the exchange %.3f and %.3f", with[0], with[1], without[0], without[1])
	if with[0] < with[1]-0.05 || with[0] < without[0] {
		t.Errorf("urgent %.3f, others %.3f; without the exchange %.3f and %.3f", with[0], with[1], without[0], without[1])
	}
}
