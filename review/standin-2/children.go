//go:build review2

package main

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// children are the processes that were started, to be ended if this one is told to end.
var children struct {
	mutex sync.Mutex
	list  []*os.Process
}

func started(p *os.Process) {
	children.mutex.Lock()
	defer children.mutex.Unlock()
	children.list = append(children.list, p)
}

// endOnSignal ends the processes that were started, by their ids, when this one gets SIGTERM or SIGINT.
func endOnSignal(record *recorder) {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, os.Interrupt)
	record.log("told to end by %v", <-told)
	children.mutex.Lock()
	for _, p := range children.list {
		_ = p.Kill() // reports an error for those that have ended
	}
	os.Exit(2)
}
