//go:build review3

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	// exitBroken and exitUnable are the exit codes of a case whose rule was broken and of one that could not run.
	exitBroken, exitUnable = 1, 2
)

// result is what a case has found.
type result struct {
	broken  bool
	verdict string
}

// scenarios has the cases by name. They play without their disruption if trouble is false.
var scenarios = map[string]func(w *world, trouble bool) (result, error){
	"route":   route,
	"models":  models,
	"pairs":   pairs,
	"same-id": sameID,
	"copies":  copies,
	"limit":   limit,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "record.txt", "the file for the record")
	program := flag.String("program", "target/poplarwinch", "the program under review")
	trouble := flag.Bool("trouble", true, "false plays the case without its disruption")
	flag.Parse()
	scenario, ok := scenarios[*name]
	file, err := os.Create(*path)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", *name, err)
		return exitUnable
	}
	defer func() { _ = file.Close() }()
	w, err := newWorld(newRecorder(file), *program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer w.close()
	go w.awaitEnd()
	found, err := scenario(w, *trouble)
	switch {
	case err != nil:
		w.record.add("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitUnable
	case found.broken:
		w.record.add("BROKEN: %s", found.verdict)
		fmt.Println("BROKEN:", found.verdict)
		return exitBroken
	}
	w.record.add("held: %s", found.verdict)
	fmt.Println("held:", found.verdict)
	return 0
}

// awaitEnd ends all processes if the case is told to end.
func (w *world) awaitEnd() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	<-told
	w.close()
	os.Exit(exitUnable)
}
