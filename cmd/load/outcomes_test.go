package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
)

// Without reloading the entry file, the load would not reach instances that replace others during the run. A missing
// outcome or a wrong Request-Id would hide a request that was executed although its caller got another outcome.
func TestEntryFileIsReadAgainAndOutcomesNameAllRequests(t *testing.T) {
	requestIDs := make(chan string, 1000)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestIDs <- r.Header.Get("Request-Id")
		writeError(w, 503, "overloaded", "not-run")
	}))
	defer second.Close()
	directory := t.TempDir()
	entryFile, outcomesFile := filepath.Join(directory, "entries"), filepath.Join(directory, "outcomes")
	writeEntryFile := func(address string) {
		if err := os.WriteFile(entryFile+".new", []byte(address+"\n"), 0o600); err != nil {
			t.Error(err)
		}
		if err := os.Rename(entryFile+".new", entryFile); err != nil {
			t.Error(err)
		}
	}
	var once sync.Once
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestIDs <- r.Header.Get("Request-Id")
		once.Do(func() { writeEntryFile(second.Listener.Addr().String()) })
		writeError(w, 503, "unavailable", "not-run")
	}))
	defer first.Close()
	writeEntryFile(first.Listener.Addr().String())
	var stdout, stderr bytes.Buffer
	code := run(t.Context(), strings.Fields("--entry-file "+entryFile+" --outcomes "+outcomesFile+
		" --seconds 1 --rate 50 --mix 1k=1 --service s --call-rate 20 --repeat 1"), &stdout, &stderr)
	if code != exitOK {
		t.Fatalf("exit code %d: %s%s", code, stdout.String(), stderr.String())
	}
	close(requestIDs)
	received := map[string]bool{}
	for id := range requestIDs {
		received[id] = true
	}
	data, err := os.ReadFile(outcomesFile)
	if err != nil {
		t.Fatal(err)
	}
	entries := map[string]bool{}
	count := 0
	for line := range strings.Lines(string(data)) {
		var o outcome
		if err := json.Unmarshal([]byte(line), &o); err != nil {
			t.Fatal(err)
		}
		if !received[o.ID] || o.Status != statusRejected || (o.Work == "call") != (o.Key != "") || o.EndMillis < o.DueMillis {
			t.Errorf("outcome %+v of a request that was not sent, or with wrong content", o)
		}
		entries[o.Entry] = true
		count++
	}
	if count == 0 || count != len(received) || !entries[second.URL] {
		t.Errorf("%d outcomes of %d requests, entries %v", count, len(received), entries)
	}
}
