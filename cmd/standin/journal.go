package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// journal appends JSON lines to a file, so that the record of executions survives a crash of the emulator.
type journal struct{ file *os.File }

// openJournal opens the file for appending; an empty path discards all lines.
func openJournal(path string) (*journal, error) {
	if path == "" {
		return &journal{}, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	return &journal{file: f}, err
}

// append writes one line. It exits the process if that fails, since an incomplete record would hide executions.
func (j *journal) append(v any) {
	if j.file == nil {
		return
	}
	if err := json.NewEncoder(j.file).Encode(v); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		os.Exit(1)
	}
}
