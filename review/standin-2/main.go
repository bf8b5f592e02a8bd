//go:build review2

// Command review-2 plays the scripted cases of the second review: review-2 CASE DIRECTORY. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// play plays a case, with or without its disruption, and returns why the rule was broken, or an empty text.
type play func(record *recorder, trouble bool) (broken string, err error)

// plays are the cases by name. Each file adds its own.
var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE DIRECTORY")
		os.Exit(2)
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	traffic = record
	go endOnSignal(record)
	trouble := os.Getenv("TROUBLE") != "0"
	record.log("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](record, trouble)
	switch {
	case err != nil:
		record.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken != "":
		record.log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	record.log("held")
	fmt.Println("held")
}
