package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"
)

// plan is the run that the validated command line describes.
type plan struct {
	arguments            *arguments
	entries              *entries
	outcomes             *outcomes
	keys                 []string
	corpus               *corpus
	profile              profile
	callMethod, callPath string
}

func newPlan(a *arguments) (*plan, error) {
	if err := a.check(); err != nil {
		return nil, err
	}
	p := &plan{arguments: a, keys: []string{""}}
	if a.Keys != "" {
		keys, err := readKeys(a.Keys)
		if err != nil {
			return nil, err
		}
		p.keys = keys
	}
	longest := 0
	for i, w := range a.Mix.weights {
		if w > 0 {
			longest = max(longest, classes[i].bytes())
		}
	}
	p.corpus = newCorpus(a.Seed, longest)
	if a.Surge > 0 {
		start, length := a.SurgeStart, a.SurgeSeconds
		if start < 0 {
			start = a.Seconds / 3
		}
		if length < 0 {
			length = a.Seconds / 3
		}
		p.profile = profile{factor: a.Surge, start: start, end: start + length}
	}
	method, path, ok := strings.Cut(a.Call, " ")
	if !ok || !strings.HasPrefix(path, "/") {
		return nil, fmt.Errorf("--call: %q is not a method and a path such as \"POST /bookings\"", a.Call)
	}
	p.callMethod, p.callPath = method, path
	var err error
	if p.entries, err = newEntries(a.Entry, a.EntryFile); err != nil {
		return nil, err
	}
	p.outcomes, err = openOutcomes(a.Outcomes)
	return p, err
}

func (a *arguments) check() error {
	isFraction := func(v float64) bool { return v >= 0 && v <= 1 }
	switch {
	case (len(a.Entry) == 0) == (a.EntryFile == ""):
		return errors.New("--entry or --entry-file: exactly one of them is required")
	case a.Seconds <= 0:
		return errors.New("--seconds: must be above 0")
	case a.Rate < 0 || a.CallRate < 0 || a.Surge < 0:
		return errors.New("--rate, --call-rate, --surge: must not be negative")
	case !isFraction(a.StreamedPromptShare) || !isFraction(a.RepeatProbability) || !isFraction(a.SharedPrefixShare):
		return errors.New("--stream, --repeat, --document-share: must be from 0 to 1")
	case a.MaxTokens < 1 || a.TimeoutMillis < 1 || a.GraceMillis < 0 || a.MaxInFlight < 1 || a.Documents < 1:
		return errors.New("--max-tokens, --timeout-ms, --max-in-flight, --documents: must be at least 1; --grace-ms: at least 0")
	case a.CallRate > 0 && a.Service == "":
		return errors.New("--call-rate: needs --service")
	}
	return nil
}

// readKeys reads one customer key per line; blank lines and lines that start with # are skipped.
func readKeys(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys []string
	for line := range strings.Lines(string(data)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			keys = append(keys, line)
		}
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("--keys: %s contains no customer key", path)
	}
	return keys, nil
}

// execute runs the phases and returns their report.
func (p *plan) execute(ctx context.Context) *report {
	reloadContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go p.entries.loop(reloadContext)
	started := strconv.FormatInt(time.Now().UnixMilli(), 36)
	if !p.arguments.Alone {
		f := p.run(ctx, "mixed", started, false)
		return newReport(f, nil)
	}
	alone := p.run(ctx, "alone", started, true)
	return newReport(p.run(ctx, "mixed", started, false), alone)
}

func (p *plan) run(ctx context.Context, name, started string, shortOnly bool) *figures {
	a := p.arguments
	limit := time.Duration(a.TimeoutMillis) * time.Millisecond
	if a.LimitMillis > 0 {
		limit = time.Duration(a.LimitMillis) * time.Millisecond
	}
	promptRate, callRate := p.profile, p.profile
	promptRate.base, callRate.base = a.Rate, a.CallRate
	ph := &phase{
		name: name, started: started, model: a.Model, seed: a.Seed,
		length:  seconds(a.Seconds),
		timeout: time.Duration(a.TimeoutMillis) * time.Millisecond,
		grace:   time.Duration(a.GraceMillis) * time.Millisecond,
		limit:   limit, maxTokens: a.MaxTokens, shortOnly: shortOnly, resume: a.Resume,
		keys: p.keys, corpus: p.corpus,
		keepAliveClient: newClient(p.entries, false), freshClient: newClient(p.entries, true),
		prompts: &arrivals{
			random: rand.New(rand.NewPCG(a.Seed, 1)), profile: promptRate, mix: a.Mix, stream: a.StreamedPromptShare,
			keys: len(p.keys), documentCount: a.Documents, sharedPrefixShare: a.SharedPrefixShare,
		},
		service: a.Service, callMethod: p.callMethod, callPath: p.callPath, records: a.Record,
		slots:   make(chan struct{}, a.MaxInFlight),
		ledger:  ledger{entries: map[string]reportedOutcome{}},
		figures: newFigures(), outcomes: p.outcomes,
	}
	if a.Service != "" && a.CallRate > 0 {
		ph.calls = &callArrivals{
			random: rand.New(rand.NewPCG(a.Seed, 2)), profile: callRate, repeat: a.RepeatProbability, keys: len(p.keys),
		}
	}
	ph.run(ctx)
	ph.keepAliveClient.http.CloseIdleConnections()
	return ph.figures
}
