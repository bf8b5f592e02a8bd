package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

const (
	acceptedBody = `{"version": 4, "digest": "d"}`
	conflictBody = `{"error": {"type": "conflict", "message": "version is 5", "remedy": "look", "outcome": "not-run"}}`
	invalidBody  = `{"error": {"type": "invalid-request", "message": "weight", "remedy": "correct it", "outcome": "not-run"}}`
	unknownBody  = `{"error": {"type": "unavailable", "message": "no answer", "remedy": "wait", "outcome": "unknown"}}`
)

// Deployment pipelines use the exit code to decide whether a commit was accepted, conflicts with another or may be retried.
func TestCommit(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret-token\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		bodies []string // replies in order; for an empty one the server breaks the connection
		code   int
		output string
	}{
		"accepted":       {[]string{acceptedBody}, exitOK, "accepted as version 4, digest d"},
		"conflict":       {[]string{conflictBody}, exitConflict, "version is 5 (outcome: not-run); look"},
		"invalid":        {[]string{invalidBody}, exitFailed, "correct it"},
		"lost reply":     {[]string{"", acceptedBody}, exitOK, "accepted as version 4"},
		"unknown":        {[]string{unknownBody, unknownBody, unknownBody}, exitFailed, "repeat the command with --commit-id id-1"},
		"other server":   {[]string{"<html>"}, exitFailed, "check that the address is that of the operator interface"},
		"empty document": {[]string{"{}"}, exitFailed, "names no version"},
	} {
		t.Run(name, func(t *testing.T) {
			var ids []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				if r.Method != http.MethodPut || r.URL.Path != "/manifest" || r.Header.Get("Replaces") != "3" ||
					r.Header.Get("Authorization") != "Bearer secret-token" || !bytes.Contains(body, []byte("maraval-assistant")) {
					t.Errorf("request %s %s %v", r.Method, r.URL, r.Header)
				}
				ids = append(ids, r.Header.Get("Commit-Id"))
				reply := c.bodies[len(ids)-1]
				switch {
				case reply == "":
					panic(http.ErrAbortHandler)
				case strings.Contains(reply, "error"):
					w.WriteHeader(http.StatusConflict)
				case reply == "<html>":
					w.WriteHeader(http.StatusNotFound)
				}
				_, _ = io.WriteString(w, reply)
			}))
			defer server.Close()
			var out bytes.Buffer
			code := execute(t.Context(), []string{
				"manifest", "commit", "../../examples/maraval/manifest.json", "--replaces", "3", "--commit-id", "id-1",
				"--operator", strings.TrimPrefix(server.URL, "http://"), "--token-file", token,
			}, &out, &out)
			if code != c.code || !strings.Contains(out.String(), c.output) {
				t.Errorf("exit code %d, output %q; want %d, %q", code, out.String(), c.code, c.output)
			}
			if len(ids) != len(c.bodies) || len(slices.Compact(ids)) != 1 || strings.Contains(out.String(), "secret-token") {
				t.Errorf("commit ids %v, output %q", ids, out.String())
			}
		})
	}
}

// Scripts depend on these commands, their exit codes and whether they write to standard output or standard error.
func TestCommands(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"path":"`+r.URL.Path+`","instance":"entry-1","list":[{"n":12345678901234567890}],
			"upstreams":[{"id":"engine-1","pool":"drafting","address":"127.0.0.1:1","state":"up","kv-used-tokens":12345}]}`)
	}))
	defer server.Close()
	const maraval, settings = "../../examples/maraval/manifest.json", "../../examples/maraval/arima.ini"
	for line, c := range map[string]struct {
		code           int
		stdout, stderr string
	}{
		"":              {exitUsage, "", "a subcommand is missing"},
		"manifest":      {exitUsage, "", "a subcommand is missing"},
		"manifest show": {exitUsage, "", "--operator"},
		"manifest commit x --operator 127.0.0.1:1": {exitUsage, "", "--replaces"},
		"--version":                              {exitOK, "poplarwinch ", ""},
		"--help":                                 {exitOK, "Exit codes: 0 ok", ""},
		"manifest check " + maraval:              {exitOK, "is valid: service maraval-assistant", ""},
		"manifest check " + settings:             {exitFailed, "", "write one complete JSON document"},
		"manifest check missing.json":            {exitFailed, "", "give the path of a readable file"},
		"settings check " + settings:             {exitOK, "is valid", ""},
		"settings check " + maraval:              {exitFailed, "", "is not valid INI"},
		"serve " + maraval:                       {exitFailed, "", "is not valid INI"},
		"manifest show --operator " + server.URL: {exitOK, `"path": "/manifest"`, ""},
		"status --json --operator " + server.URL: {exitOK, `"n": 12345678901234567890`, ""},
		"status --operator " + server.URL:        {exitOK, "engine-1  drafting  127.0.0.1:1  up     0        0        0               12345", ""},
	} {
		var stdout, stderr bytes.Buffer
		code := execute(t.Context(), strings.Fields(line), &stdout, &stderr)
		if code != c.code || !strings.Contains(stdout.String(), c.stdout) || !strings.Contains(stderr.String(), c.stderr) ||
			(c.stdout == "") != (stdout.Len() == 0) || (c.stderr == "") != (stderr.Len() == 0) {
			t.Errorf("%q: exit code %d, output %q, errors %q", line, code, stdout.String(), stderr.String())
		}
	}
}
