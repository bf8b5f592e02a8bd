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

// A load that keeps to the first list would send nothing to replaced instances, and a missing line or a wrong
// Request-Id in the outcomes would hide a request that ran although its caller was told otherwise.
func TestEntryFileIsReadAgainAndOutcomesNameAllRequests(t *testing.T) {
	seen := make(chan string, 1000)
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Request-Id")
		writeError(w, 503, "overloaded", "not-run")
	}))
	defer second.Close()
	directory := t.TempDir()
	list, lines := filepath.Join(directory, "entries"), filepath.Join(directory, "outcomes")
	write := func(address string) {
		if err := os.WriteFile(list+".new", []byte(address+"\n"), 0o600); err != nil {
			t.Error(err)
		}
		if err := os.Rename(list+".new", list); err != nil {
			t.Error(err)
		}
	}
	var once sync.Once
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Request-Id")
		once.Do(func() { write(second.Listener.Addr().String()) })
		writeError(w, 503, "unavailable", "not-run")
	}))
	defer first.Close()
	write(first.Listener.Addr().String())
	var stdout, stderr bytes.Buffer
	code := run(t.Context(), strings.Fields("--entry-file "+list+" --outcomes "+lines+
		" --seconds 1 --rate 50 --mix 1k=1 --service s --call-rate 20 --repeat 1"), &stdout, &stderr)
	if code != exitOK {
		t.Fatalf("exit code %d: %s%s", code, stdout.String(), stderr.String())
	}
	close(seen)
	received := map[string]bool{}
	for id := range seen {
		received[id] = true
	}
	data, err := os.ReadFile(lines)
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
		if !received[o.ID] || o.Status != statusRejected || (o.Work == "call") != (o.Key != "") || o.End < o.Due {
			t.Errorf("outcome %+v of a request that was not sent, or with wrong content", o)
		}
		entries[o.Entry] = true
		count++
	}
	if count == 0 || count != len(received) || !entries[second.URL] {
		t.Errorf("%d outcomes of %d requests, entries %v", count, len(received), entries)
	}
}
