package engine

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// Load is the load report of an engine.
type Load struct {
	RunningRequests        int
	WaitingRequests        int
	WaitingPrefillTokens   poplarwinch.Tokens
	UsedTokens             poplarwinch.Tokens
	CapacityTokens         poplarwinch.Tokens
	PrefillTokensPerSecond float64
	// Age is how old the other values were when they were read.
	Age clock.Millis
}

// Load reads an engine's load from its Prometheus metrics on a new connection.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var data []byte
	if err := c.call(ctx, operation{name: "load", method: http.MethodGet, path: "/metrics", receive: &data, fresh: true}, address); err != nil {
		return Load{}, err
	}
	l, err := parseLoad(data)
	if err != nil {
		return Load{}, &CallError{Operation: "load", Address: address, Status: http.StatusOK, Sent: true, Cause: err}
	}
	return l, nil
}

// parseLoad parses the metrics of the load report. It ignores other metrics, comments and labels.
func parseLoad(data []byte) (Load, error) {
	var l Load
	setters := map[string]func(float64){
		"engine_running_requests":          func(v float64) { l.RunningRequests = int(v) },
		"engine_waiting_requests":          func(v float64) { l.WaitingRequests = int(v) },
		"engine_waiting_prefill_tokens":    func(v float64) { l.WaitingPrefillTokens = poplarwinch.Tokens(v) },
		"engine_kv_used_tokens":            func(v float64) { l.UsedTokens = poplarwinch.Tokens(v) },
		"engine_kv_capacity_tokens":        func(v float64) { l.CapacityTokens = poplarwinch.Tokens(v) },
		"engine_prefill_tokens_per_second": func(v float64) { l.PrefillTokensPerSecond = v },
		"engine_report_age_ms":             func(v float64) { l.Age = clock.Millis(v) },
	}
	for line := range bytes.Lines(data) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(" "))
		name, _, _ = bytes.Cut(name, []byte("{"))
		set, ok := setters[string(name)]
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(string(bytes.TrimSpace(value)), 64)
		if err != nil {
			return Load{}, errors.New("metric " + string(name) + " is not a number")
		}
		set(v)
		delete(setters, string(name))
	}
	for name := range setters {
		return Load{}, errors.New("metric " + name + " is missing")
	}
	return l, nil
}
