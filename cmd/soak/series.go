package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

// crashingPart is the part of prompts that crashes servers while that fault lasts.
const crashingPart = "bad"

const (
	// minPause and maxPause bound the time between two faults, so that their effects overlap.
	minPause = 150 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// maxDisturbedInstances is the number of instances that may be disturbed at a time.
	maxDisturbedInstances = 3
)

// series is a seeded series of faults.
type series struct {
	deployment *deployment
	random     *rand.Rand
	// busyUntil is the end of the latest disturbance of each instance.
	busyUntil map[int]time.Time
	// store and parts are the ends of the faults of the store and of the crashing part; one of each lasts at a time.
	store, parts time.Time
}

func newSeries(d *deployment, seed uint64) *series {
	return &series{deployment: d, random: rand.New(rand.NewPCG(seed, 1)), busyUntil: map[int]time.Time{}}
}

// run injects faults for the time or until ctx ends.
func (s *series) run(ctx context.Context, length time.Duration) {
	kinds := []func(){
		s.stopInstance, s.killInstance, s.pauseInstance, s.stopInstance, s.killInstance, s.crashServer, s.removeServer, s.changeConfiguration,
		s.failStore, s.silenceStore, s.dropHistory, s.loseAnswers, s.unframeAnswers, s.limitServers, s.crashByPart, s.hangServer, s.reload,
		s.restoreStore, s.restoreStore, s.stallServers, s.evacuateDomain, s.evacuateDomain,
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		kinds[s.random.IntN(len(kinds))]()
		pause := minPause + time.Duration(s.random.Int64N(int64(maxPause-minPause)))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	s.restoreStore() // without other faults, its consequences can't be excused
}

// between returns a random time.
func (s *series) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// free returns an instance that may be disturbed for the time.
func (s *series) free(length time.Duration) (*instance, bool) {
	now, busy := time.Now(), 0
	for _, until := range s.busyUntil {
		if until.After(now) {
			busy++
		}
	}
	n := s.random.IntN(len(s.deployment.instances))
	if busy >= maxDisturbedInstances || s.busyUntil[n].After(now) {
		return nil, false
	}
	s.busyUntil[n] = now.Add(length)
	return s.deployment.instances[n], true
}

// disturb logs a fault of an instance.
func (s *series) disturb(p *instance, what string, length time.Duration) {
	s.deployment.logEvent(event{kind: eventInstance, name: p.Name, text: what + " " + p.Name, until: time.Now().Add(length)})
}

func (s *series) stopInstance() {
	if p, ok := s.free(stopGrace + 2*time.Second); ok {
		s.disturb(p, "SIGTERM to", stopGrace+restartDelay)
		p.stop()
	}
}

func (s *series) killInstance() {
	if p, ok := s.free(3 * time.Second); ok {
		s.disturb(p, "SIGKILL to", restartDelay+time.Second)
		p.signal(syscall.SIGKILL)
	}
}

func (s *series) pauseInstance() {
	length := s.between(500*time.Millisecond, 4*time.Second)
	if p, ok := s.free(length + time.Second); ok {
		s.disturb(p, fmt.Sprintf("SIGSTOP for %d ms to", length.Milliseconds()), length)
		p.signal(syscall.SIGSTOP)
		time.AfterFunc(length, func() { p.signal(syscall.SIGCONT) })
	}
}

func (s *series) reload() {
	p := s.deployment.instances[s.random.IntN(len(s.deployment.instances))]
	s.deployment.log(eventOther, "SIGHUP to "+p.Name)
	p.signal(syscall.SIGHUP)
}

// pick returns a server of the service that runs.
func (s *series) pick(service string) (*emulator.Server, bool) {
	var list []*emulator.Server
	for _, o := range s.deployment.live() {
		if o.Service == service {
			list = append(list, o)
		}
	}
	if len(list) < 2 {
		return nil, false
	}
	return list[s.random.IntN(len(list))], true
}

func (s *series) crashServer() {
	if o, ok := s.pick("pool"); ok {
		s.deployment.crashServer(o)
	}
}

func (s *series) removeServer() {
	if o, ok := s.pick([]string{"pool", "bookings"}[s.random.IntN(2)]); ok {
		s.deployment.log(eventServer, o.ID+" leaves")
		s.deployment.removeServer(o)
	}
}

func (s *series) hangServer() {
	o, ok := s.pick("pool")
	if !ok {
		return
	}
	length := s.between(time.Second, 3*time.Second)
	s.deployment.logEvent(event{kind: eventServer, text: o.ID + " hangs", until: time.Now().Add(length)})
	d := s.deployment
	d.setFaults(func(*emulator.Faults) { d.hanging[o.ID] = true })
	time.AfterFunc(length, func() { d.setFaults(func(*emulator.Faults) { delete(d.hanging, o.ID) }) })
}

// stallServers lets one to three servers fall silent for a moment and go on.
func (s *series) stallServers() {
	for range 1 + s.random.IntN(3) {
		if o, ok := s.pick([]string{"pool", "bookings"}[s.random.IntN(2)]); ok {
			length := s.between(time.Second, 1500*time.Millisecond)
			s.deployment.log(eventServer, fmt.Sprintf("%s is silent for %d ms", o.ID, length.Milliseconds()))
			o.Stall(length)
		}
	}
}

func (s *series) changeConfiguration() { s.deployment.configure(1 + s.random.IntN(3)) }

// storeFault lets the store fail for some seconds.
func (s *series) storeFault(what string, set func(bool)) {
	if s.store.After(time.Now()) {
		return
	}
	length := s.between(500*time.Millisecond, 5*time.Second)
	s.store = time.Now().Add(length)
	s.deployment.logEvent(event{kind: eventStore, text: what, until: s.store})
	set(true)
	time.AfterFunc(length, func() { set(false) })
}

func (s *series) failStore() { s.storeFault("the store fails", s.deployment.store.SetUnavailable) }

func (s *series) silenceStore() {
	s.storeFault("the store is silent", s.deployment.store.SetSilent)
}

// restoreStore lets the store be unavailable for a moment and be restored from a copy some seconds old.
func (s *series) restoreStore() {
	d, now := s.deployment, time.Now()
	if s.store.After(now) {
		return
	}
	away, age := s.between(300*time.Millisecond, 2*time.Second), s.between(2*time.Second, 9*time.Second)
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	s.store = now.Add(away + maxRewrite)
	d.logEvent(event{kind: eventStore, text: fmt.Sprintf("the store is unavailable and is restored from a copy %d ms old", age.Milliseconds()), until: now.Add(away)})
	d.store.SetResetting(true)
	time.AfterFunc(away, func() {
		d.restore(age, random)
		d.store.SetResetting(false)
	})
}

func (s *series) dropHistory() {
	s.deployment.log(eventStore, "the store forgets its history")
	s.deployment.store.DropHistory()
}

// lasting sets a fault of all servers for a time.
func (s *series) lasting(what string, low, high time.Duration, set func(f *emulator.Faults, on bool)) {
	length := s.between(low, high)
	s.deployment.logEvent(event{kind: eventServer, text: what, until: time.Now().Add(length)})
	s.deployment.setFaults(func(f *emulator.Faults) { set(f, true) })
	time.AfterFunc(length, func() { s.deployment.setFaults(func(f *emulator.Faults) { set(f, false) }) })
}

func (s *series) loseAnswers() {
	s.lasting("answers are lost", 200*time.Millisecond, 600*time.Millisecond, func(f *emulator.Faults, on bool) { f.LoseAnswers = on })
}

func (s *series) unframeAnswers() {
	s.lasting("answers without length", time.Second, 4*time.Second, func(f *emulator.Faults, on bool) { f.Unframed = on })
}

// limitServers lets a server name a limit for some seconds.
func (s *series) limitServers() {
	o, ok := s.pick("pool")
	if !ok || s.deployment.hasLimit(o) {
		return
	}
	length, rate := s.between(8*time.Second, 14*time.Second), 1+2*s.random.Float64()
	d := s.deployment
	d.logEvent(event{kind: eventServer, text: fmt.Sprintf("%s names a limit of %.1f/s", o.ID, rate)})
	d.setFaults(func(*emulator.Faults) {
		d.limitOf[o.ID] = rate
		d.limits = append(d.limits, limitEvent{server: o.ID, perSecond: rate, from: time.Now(), until: time.Now().Add(length)})
	})
	time.AfterFunc(length, func() { d.setFaults(func(*emulator.Faults) { delete(d.limitOf, o.ID) }) })
}

// crashByPart makes servers crash on a part of prompts, from now to the end of the series.
func (s *series) crashByPart() {
	if s.parts.IsZero() {
		s.parts = time.Now()
		s.deployment.log(eventServer, "prompts with part "+crashingPart+" crash servers")
		s.deployment.setFaults(func(f *emulator.Faults) { f.CrashingPart = crashingPart })
	}
}
