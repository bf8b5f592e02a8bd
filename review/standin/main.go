//go:build review

// Command standin plays the cases of the review. It starts instances of the deploy file as separate processes before a store, servers and
// clients of its own, and checks one rule by what clients and servers have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun marks a case that could not run, so that it shows nothing.
var errNotRun = errors.New("the case could not run")

// cases has the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a case and returns the exit code.
func play(name, recordPath string, trouble bool) int {
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	record.note("case %s, trouble %t", name, trouble)
	w, err := newWorld(record)
	if err != nil {
		record.note("%v", err)
		return exitNotRun
	}
	defer w.close()
	go w.endOnSignal()
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		record.note("%v", err)
		return exitNotRun
	case broken:
		record.note("RULE BROKEN")
		return exitBroken
	}
	record.note("rule held")
	return exitHeld
}

// world is one small deployment.
type world struct {
	record    *record
	directory string
	// network is the loopback network of the instances and servers, as "127.a.b".
	network string
	// models are the models of the model service; requests ask for them in turn.
	models []string
	// version and keys are those of the configuration.
	version   int
	keys      []string
	store     *store
	servers   []*server
	instances []*instance
}

func newWorld(r *record) (*world, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	w := &world{record: r, directory: directory, network: fmt.Sprintf("127.%d.%d", 130+pid%100, pid/100%250), models: []string{"m"}, version: 7, keys: []string{apiKey}}
	w.store, err = newStore(w.network + ".1:0")
	return w, err
}

// startInstances starts one instance in each of the zones and waits until all are ready.
func (w *world) startInstances(zones ...string) error {
	binary, err := filepath.Abs("target/poplarwinch")
	if err != nil {
		return err
	}
	if _, err := exec.LookPath(binary); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	for n, zone := range zones {
		i, err := newInstance(w, binary, n, zone)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, i := range w.instances {
		for !i.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errNotRun, i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.note("%d instances are ready", len(w.instances))
	return nil
}

// endOnSignal ends the processes of the case if it is interrupted.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	w.close()
	os.Exit(exitNotRun)
}

func (w *world) close() {
	for _, i := range w.instances {
		i.kill()
	}
	for _, s := range w.servers {
		s.stop()
	}
	_ = os.RemoveAll(w.directory)
}
