package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// statusCommand shows the status of an instance.
type statusCommand struct {
	operatorClient
	JSON bool `arg:"--json" help:"write the status as JSON"`
}

func (c *statusCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	body, err := c.request(ctx, http.MethodGet, "/status", nil, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(stdout, body)
	}
	var s status
	if err := json.Unmarshal(body, &s); err != nil {
		return newFailure("check that the address is that of the operator interface", "the response is not a status: %v", err)
	}
	return s.write(stdout)
}

// status contains the fields of the GET /status response that the tables show.
type status struct {
	Instance      string `json:"instance"`
	Version       string `json:"version"`
	FailureDomain string `json:"failure-domain"`
	Ready         bool   `json:"ready"`
	Manifest      struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	} `json:"manifest"`
	Peers            []statusPeer      `json:"peers"`
	Upstreams        []statusUpstream  `json:"upstreams"`
	RequestsInFlight int               `json:"requests-in-flight"`
	Rejections       map[string]uint64 `json:"rejections"`
	Alarms           []statusAlarm     `json:"alarms"`
}

type statusPeer struct {
	Instance        string `json:"instance"`
	Address         string `json:"address"`
	FailureDomain   string `json:"failure-domain"`
	State           string `json:"state"`
	ManifestVersion uint64 `json:"manifest-version"`
}

type statusUpstream struct {
	ID                   string `json:"id"`
	Pool                 string `json:"pool"`
	Address              string `json:"address"`
	State                string `json:"state"`
	Running              int    `json:"running"`
	Waiting              int    `json:"waiting"`
	WaitingPrefillTokens int64  `json:"waiting-prefill-tokens"`
	KVUsedTokens         int64  `json:"kv-used-tokens"`
	KVCapacityTokens     int64  `json:"kv-capacity-tokens"`
	ReportAgeMillis      int64  `json:"report-age-ms"`
	InFlight             int    `json:"in-flight"`
}

type statusAlarm struct {
	Name        string `json:"name"`
	Message     string `json:"message"`
	SinceMillis int64  `json:"since-ms"`
}

// write formats the status as tables.
func (s *status) write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "instance\t%s\nprogram\t%s\nfailure domain\t%s\nready\t%v\n", s.Instance, s.Version, s.FailureDomain, s.Ready)
	fmt.Fprintf(t, "manifest\tversion %d, digest %s\nrequests in flight\t%d\n", s.Manifest.Version, s.Manifest.Digest, s.RequestsInFlight)
	var kinds []string
	for _, kind := range slices.Sorted(maps.Keys(s.Rejections)) {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, s.Rejections[kind]))
	}
	fmt.Fprintf(t, "rejections\t%s\n", strings.Join(kinds, ", "))
	fmt.Fprintf(t, "\npeer\tfailure domain\taddress\tstate\tmanifest\n")
	for _, p := range s.Peers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", p.Instance, p.FailureDomain, p.Address, p.State, p.ManifestVersion)
	}
	fmt.Fprintf(t, "\nupstream\tpool\taddress\tstate\trunning\twaiting\twaiting tokens\tKV used\tKV capacity\treport age ms\tin flight here\n")
	for _, u := range s.Upstreams {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", u.ID, u.Pool, u.Address, u.State, u.Running, u.Waiting,
			u.WaitingPrefillTokens, u.KVUsedTokens, u.KVCapacityTokens, u.ReportAgeMillis, u.InFlight)
	}
	if len(s.Alarms) > 0 {
		fmt.Fprintf(t, "\nalarm\tsince\tmessage\n")
	}
	for _, a := range s.Alarms {
		fmt.Fprintf(t, "%s\t%s\t%s\n", a.Name, time.UnixMilli(a.SinceMillis).UTC().Format(time.RFC3339), a.Message)
	}
	return t.Flush()
}

// writeJSON writes a response body as indented JSON.
func writeJSON(w io.Writer, body []byte) error {
	value, err := decodeJSON(body)
	if err != nil {
		return err
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// decodeJSON decodes a response body; it keeps numbers as written, since a float64 would round large integers.
func decodeJSON(body []byte) (any, error) {
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.UseNumber()
	var value any
	if err := d.Decode(&value); err != nil {
		return nil, newFailure("check that the address is that of the operator interface", "the response is not valid JSON: %v", err)
	}
	return value, nil
}
