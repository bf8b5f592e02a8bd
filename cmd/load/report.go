package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// report is the result of a run; times are in milliseconds.
type report struct {
	Classes             []classReport `json:"classes"`
	InterTokenP95Millis float64       `json:"inter-token-p95-ms"`
	Slowdown            *slowdown     `json:"slowdown,omitempty"`
	Surge               *surgeReport  `json:"surge,omitempty"`
	Prompts             countReport   `json:"prompts"`
	Resumed             uint64        `json:"resumed"`
	Calls               *countReport  `json:"calls,omitempty"`
	RecordRead          bool          `json:"record-read"` // if false, executions were not checked
	Doubled             uint64        `json:"doubled"`
	FalseNotRun         uint64        `json:"false-not-run"`
	FalseCompleted      uint64        `json:"false-completed"`
	RecordError         string        `json:"record-error,omitempty"`
	Alone               *report       `json:"alone,omitempty"`
}

// classReport holds the times of one class: time to first token of streamed prompts, total time of completed prompts.
type classReport struct {
	Class      string      `json:"class"`
	FirstToken timesReport `json:"first-token"`
	Total      timesReport `json:"total"`
}

type timesReport struct {
	Count     uint64  `json:"count"`
	P50Millis float64 `json:"p50-ms"`
	P95Millis float64 `json:"p95-ms"`
	P99Millis float64 `json:"p99-ms"`
}

// slowdown is the time to first token of 1k prompts with longer prompts, relative to that without.
type slowdown struct {
	P50Ratio float64 `json:"p50"`
	P95Ratio float64 `json:"p95"`
}

// surgeReport counts the prompts of the surge and those of them that completed within the limit.
type surgeReport struct {
	Sent             uint64  `json:"sent"`
	WithinLimit      uint64  `json:"within-limit"`
	WithinLimitShare float64 `json:"share"`
}

type countReport struct {
	Sent      uint64            `json:"sent"`
	Unsent    uint64            `json:"unsent"`
	Completed uint64            `json:"completed"`
	Rejected  map[string]uint64 `json:"rejected"`
	Failed    map[string]uint64 `json:"failed"`
	Lost      uint64            `json:"lost"`
	Partial   uint64            `json:"partial"`
	Foreign   uint64            `json:"foreign"`
	Late      uint64            `json:"late"`
}

func newReport(f, alone *figures) *report {
	r := &report{
		InterTokenP95Millis: f.interToken.quantileMillis(0.95), Prompts: newCountReport(&f.prompts), Resumed: f.resumed,
		RecordRead: f.recordRead, Doubled: f.doubled, FalseNotRun: f.falseNotRun, FalseCompleted: f.falseCompleted, RecordError: f.recordError,
	}
	for i, c := range classes {
		if f.firstToken[i].count.Load()+f.total[i].count.Load() > 0 {
			r.Classes = append(r.Classes, classReport{c.name, newTimesReport(&f.firstToken[i]), newTimesReport(&f.total[i])})
		}
	}
	if f.calls.sent+f.calls.unsent > 0 {
		c := newCountReport(&f.calls)
		r.Calls = &c
	}
	if f.surge.sent > 0 {
		r.Surge = &surgeReport{f.surge.sent, f.surge.withinLimit, float64(f.surge.withinLimit) / float64(f.surge.sent)}
	}
	if alone != nil {
		r.Alone = newReport(alone, nil)
		base := &alone.firstToken[0]
		if mixed := &f.firstToken[0]; base.count.Load() > 0 && mixed.count.Load() > 0 {
			r.Slowdown = &slowdown{ratio(mixed, base, 0.5), ratio(mixed, base, 0.95)}
		}
	}
	return r
}

// ratio returns the q-quantile of mixed relative to that of base.
func ratio(mixed, base *histogram, q float64) float64 {
	return mixed.quantileMillis(q) / max(base.quantileMillis(q), 0.001)
}

func newTimesReport(h *histogram) timesReport {
	return timesReport{h.count.Load(), h.quantileMillis(0.5), h.quantileMillis(0.95), h.quantileMillis(0.99)}
}

func newCountReport(c *counts) countReport {
	return countReport{
		Sent: c.sent, Unsent: c.unsent, Completed: c.completed, Rejected: c.rejected, Failed: c.failed,
		Lost: c.lost, Partial: c.partial, Foreign: c.foreign, Late: c.late,
	}
}

// hasViolations reports whether an answer broke a guarantee or the check itself failed.
func (r *report) hasViolations() bool {
	c := r.Prompts
	n := c.Lost + c.Partial + c.Foreign + r.Doubled + r.FalseNotRun + r.FalseCompleted
	if r.Calls != nil {
		n += r.Calls.Lost + r.Calls.Partial + r.Calls.Foreign
	}
	return n > 0 || r.RecordError != "" || r.Alone != nil && r.Alone.hasViolations()
}

func (r *report) writeJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

func (r *report) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if r.Alone != nil {
		fmt.Fprintln(t, "1k prompts alone")
		r.Alone.writeRows(t)
		fmt.Fprintln(t, "\nall prompts")
	}
	r.writeRows(t)
	if r.Slowdown != nil {
		fmt.Fprintf(t, "\nslowdown of 1k prompts\tp50 %.2f\tp95 %.2f\n", r.Slowdown.P50Ratio, r.Slowdown.P95Ratio)
	}
	return t.Flush()
}

func (r *report) writeRows(t io.Writer) {
	fmt.Fprintln(t, "class\tmeasure\tcount\tp50 ms\tp95 ms\tp99 ms")
	for _, c := range r.Classes {
		for _, m := range []struct {
			name string
			timesReport
		}{{"first token", c.FirstToken}, {"total", c.Total}} {
			fmt.Fprintf(t, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\n", c.Class, m.name, m.Count, m.P50Millis, m.P95Millis, m.P99Millis)
		}
	}
	fmt.Fprintf(t, "inter-token p95 ms\t%.1f\n", r.InterTokenP95Millis)
	if r.Surge != nil {
		fmt.Fprintf(t, "service at the surge\t%.2f%%\t%d of %d\n", 100*r.Surge.WithinLimitShare, r.Surge.WithinLimit, r.Surge.Sent)
	}
	r.Prompts.writeRow(t, "prompts")
	if r.Resumed > 0 {
		fmt.Fprintf(t, "streams resumed\t%d\n", r.Resumed)
	}
	if r.RecordError != "" {
		fmt.Fprintf(t, "record of executions not read\t%s\n", r.RecordError)
	}
	if r.Calls != nil {
		r.Calls.writeRow(t, "calls")
		if !r.RecordRead {
			fmt.Fprintln(t, "executions\tnot checked (no --record)")
			return
		}
		fmt.Fprintf(t, "executions\tdoubled %d\tfalse not-run %d\tfalse completed %d\n", r.Doubled, r.FalseNotRun, r.FalseCompleted)
	}
}

func (c *countReport) writeRow(t io.Writer, name string) {
	fmt.Fprintf(t, "%s\tsent %d\tunsent %d\tcompleted %d\trejected %s\tfailed %s\tlost %d\tpartial %d\tforeign %d\tlate %d\n",
		name, c.Sent, c.Unsent, c.Completed, kinds(c.Rejected), kinds(c.Failed), c.Lost, c.Partial, c.Foreign, c.Late)
}

// kinds formats counts by kind as "3 (overloaded 2, gone 1)".
func kinds(m map[string]uint64) string {
	var sum uint64
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(m)) {
		sum += m[kind]
		parts = append(parts, fmt.Sprintf("%s %d", kind, m[kind]))
	}
	if sum == 0 {
		return "0"
	}
	return fmt.Sprintf("%d (%s)", sum, strings.Join(parts, ", "))
}
