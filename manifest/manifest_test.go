package manifest_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
)

func minimalManifest(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "minimal.json"))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func compileManifest(t testing.TB, text string) *manifest.Index {
	t.Helper()
	m, err := manifest.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	x, err := manifest.Compile(7, m)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// Each case is a mistake of the pipeline that generates a manifest; accepting it would change how the deployment serves.
func TestProblems(t *testing.T) {
	const hash = "sha256:2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"
	for name, c := range map[string]struct{ old, replacement, want string }{
		"unknown field":          {`"weight": 2`, `"weight": 2, "wieght": 3`, "customers[0].wieght: unknown field; remove it or use one of id, weight"},
		"other case":             {`"weight": 2`, `"weight": 2, "Weight": 3`, "customers[0].Weight: unknown field"},
		"duplicate field":        {`"weight": 2`, `"weight": 2, "weight": 3`, "customers[0].weight: the field occurs more than once"},
		"missing field":          {`"weight": 2,`, ``, "customers[0].weight: the field is missing"},
		"null":                   {`"weight": 2`, `"weight": null`, "customers[0].weight: found null; write a whole number"},
		"string for number":      {`"weight": 2`, `"weight": "2"`, "customers[0].weight: found a string; write a whole number"},
		"fraction":               {`"weight": 2`, `"weight": 2.5`, "customers[0].weight: 2.5 is not an accepted number"},
		"zero weight":            {`"weight": 2`, `"weight": 0`, "customers[0].weight: 0 is out of range"},
		"object for list":        {`["drafting"], "services"`, `{"x": [1, {"y": null}]}, "services"`, "customers[0].models: found an object; write an array"},
		"list for string":        {`"id": "a"`, `"id": ["a"]`, "customers[0].id: found an array"},
		"duplicate customer":     {`"id": "b"`, `"id": "a"`, `customers[1].id: the name "a" occurs more than once`},
		"bad id":                 {`"id": "a"`, `"id": "a/b"`, "customers[0].id"},
		"unknown model":          {`"models": ["drafting"], "services"`, `"models": ["drafting", "other"], "services"`, `customers[0].models[1]: unknown model "other"`},
		"unknown service":        {`"services": ["bookings"]`, `"services": ["other"]`, `customers[0].services[0]: unknown service "other"`},
		"model listed twice":     {`"models": ["drafting"], "services"`, `"models": ["drafting", "drafting"], "services"`, "customers[0].models[1]"},
		"no key":                 {`["` + hash + `"]`, `[]`, "customers[0].key-hashes: the customer has no key"},
		"key instead of hash":    {hash, "clear-text-key", "customers[0].key-hashes[0]: malformed key hash"},
		"key of two customers":   {"sha256:3c1ee0d33bf9c4e0f0b5b5a8a4b2dcf0e0e1a2a3a4a5a6a7a8a9aaabacadaeaf", hash, "customers[1].key-hashes[0]: the key hash already occurs at customers[0].key-hashes[0]"},
		"customer without use":   {`, "models": ["drafting"]}`, `}`, "customers[1]: the customer may use no model and no service"},
		"empty final date":       {`2027-06-30-04:00`, ``, "final-date: the final date is missing"},
		"impossible date":        {`2027-06-30-04:00`, `2027-06-31`, "final-date"},
		"date in other format":   {`2027-06-30-04:00`, `30 June 2027`, "final-date"},
		"limits inverted":        {`"default-timeout-ms": 1000`, `"default-timeout-ms": 3000`, "limits.default-timeout-ms: the default time limit 3000 exceeds"},
		"service over limit":     {`"timeout-ms": 1000, "non`, `"timeout-ms": 2001, "non`, "services[0].timeout-ms: 2001 exceeds"},
		"prompt beyond context":  {`"max-prompt-tokens": 1000`, `"max-prompt-tokens": 1001`, "limits.max-prompt-tokens: 1001 exceeds the longest context"},
		"duplicate adapter":      {`{"name": "notes", "version": "2"}`, `{"name": "notes", "version": "2"}, {"name": "notes", "version": "3"}`, "models[0].adapters[1].name"},
		"adapter separator":      {`"name": "notes"`, `"name": "a:b"`, "models[0].adapters[0].name"},
		"bytes per token":        {`4.2`, `0`, "models[0].bytes-per-token"},
		"huge number":            {`4.2`, `1e999`, "models[0].bytes-per-token"},
		"method":                 {`"method": "POST"`, `"method": "post"`, "services[0].non-repeatable[0].method"},
		"relative path":          {`"path": "/bookings"`, `"path": "bookings"`, "services[0].non-repeatable[0].path"},
		"path not clean":         {`"path": "/bookings"`, `"path": "/bookings/"`, "services[0].non-repeatable[0].path"},
		"wildcard inside":        {`"path": "/bookings"`, `"path": "/*/bookings"`, "services[0].non-repeatable[0].path"},
		"route listed twice":     {`{"method": "GET", "path": "/once/*"}`, `{"method": "POST", "path": "/bookings"}`, "services[0].non-repeatable[1]: the route POST /bookings is listed twice"},
		"truncated":              {"  ]\n}", "", "not valid JSON near byte"},
		"data after the end":     {"  ]\n}", "  ]\n} {}", "not valid JSON near byte"},
		"not UTF-8":              {"drafting", "\xff", "the document is not valid UTF-8"},
		"nested deeply":          {`"weight": 2`, `"weight": ` + strings.Repeat("[", 40) + strings.Repeat("]", 40), "nested too deeply"},
		"too large":              {"{", strings.Repeat(" ", manifest.MaxBytes) + "{", "the document has"},
		"engine without memory":  {`"memory-tokens": 1000`, `"memory-tokens": -1`, "engines.memory-tokens"},
		"number beyond 64 bits":  {`"memory-tokens": 1000`, `"memory-tokens": 99999999999999999999`, "engines.memory-tokens"},
		"missing nested section": {`"engines": {`, `"motors": {`, "engines: the field is missing"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(minimalManifest(t), c.old, c.replacement, 1)
			if text == minimalManifest(t) {
				t.Fatal("the text to replace does not occur in the minimal manifest")
			}
			_, err := manifest.Parse([]byte(text))
			var invalid *manifest.InvalidError
			if !errors.As(err, &invalid) || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("Parse() = %v, want a problem with %q", err, c.want)
			}
			if strings.Contains(err.Error(), "clear-text-key") {
				t.Error("the error contains a value that may be a key")
			}
			for _, p := range invalid.Problems {
				if p.Remedy == "" {
					t.Errorf("problem %v has no remedy", p)
				}
			}
		})
	}
}

// If only the first problem was reported, a manifest with several would need one attempt for each.
func TestAllProblemsAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"weight": 2`, `"weight": 0`, `"id": "b"`, `"id": "a"`, "2027-06-30-04:00", "soon").Replace(minimalManifest(t))
	_, err := manifest.Parse([]byte(text))
	var invalid *manifest.InvalidError
	if !errors.As(err, &invalid) || len(invalid.Problems) != 3 {
		t.Fatalf("Parse() = %v, want 3 problems", err)
	}
}

// A wrong end of the final date would stop the deployment hours too early or too late.
func TestDateEnd(t *testing.T) {
	for date, want := range map[manifest.Date]string{
		"2027-06-30": "2027-07-01T00:00:00Z", "2027-06-30Z": "2027-07-01T00:00:00Z",
		"2027-06-30-04:00": "2027-07-01T04:00:00Z", "2027-12-31+05:30": "2027-12-31T18:30:00Z",
	} {
		end, err := date.End()
		if got := end.Time().Format(time.RFC3339); err != nil || got != want {
			t.Errorf("%s ends at %s, %v; want %s", date, got, err, want)
		}
	}
	x := compileManifest(t, minimalManifest(t))
	end := clock.FromTime(time.Date(2027, 7, 1, 4, 0, 0, 0, time.UTC))
	if x.Ended(end-1) || !x.Ended(end) {
		t.Error("Ended() does not change exactly at the end of the final date")
	}
}

// An unknown key must be rejected, and a known one must give its own customer.
func TestAuthenticate(t *testing.T) {
	x := compileManifest(t, minimalManifest(t))
	if c, ok := x.Authenticate("a"); ok {
		t.Errorf("Authenticate() of an unknown key = customer %s", c.ID)
	}
	if c, ok := x.Authenticate("key"); !ok || c.ID != "a" {
		t.Errorf("Authenticate() = %v, %v, want customer a", c, ok)
	}
	if manifest.HashKey("key") != x.Manifest.Customers[0].KeyHashes[0] {
		t.Error("HashKey() does not return the hash that the manifest lists")
	}
}

// A non-repeatable call that isn't recognized as such could be retried and run twice.
func TestIsNonRepeatable(t *testing.T) {
	s, _ := compileManifest(t, minimalManifest(t)).Service("bookings")
	for call, want := range map[string]bool{
		"POST /bookings": true, "POST //bookings": true, "POST /bookings/": true, "POST /x/../bookings": true, "post /bookings": true,
		"GET /bookings": false, "POST /bookings/1": false, "POST /book": false, "PUT /bookings": false,
		"GET /once": true, "GET /once/1/2": true, "HEAD /once/1": true, "GET /oncemore": false, "POST /once/1": false,
	} {
		method, path, _ := strings.Cut(call, " ")
		if got := s.IsNonRepeatable(method, path); got != want {
			t.Errorf("IsNonRepeatable(%s) = %v, want %v", call, got, want)
		}
	}
}

// Requests read the index without a lock, so it must not share memory with the manifest that it was compiled from.
func TestCompileCopies(t *testing.T) {
	m, err := manifest.Parse([]byte(minimalManifest(t)))
	if err != nil {
		t.Fatal(err)
	}
	x, err := manifest.Compile(1, m)
	if err != nil {
		t.Fatal(err)
	}
	m.Customers[0].Weight, m.Models[0].Adapters[0].Name = 99, "changed"
	c, _ := x.Customer("a")
	d, _ := x.Model("drafting")
	if _, ok := d.Adapter("notes"); !ok || c.Weight != 2 {
		t.Error("the index changed with the manifest")
	}
}

// If a change to one customer changed many sections, instances would transfer most of the manifest for each change.
func TestChangeMovesOneSection(t *testing.T) {
	m, _ := manifest.Parse([]byte(minimalManifest(t)))
	for i := range 1000 {
		c := m.Customers[0]
		c.ID, c.KeyHashes = poplarwinch.CustomerID(fmt.Sprintf("customer-%d", i)), []string{manifest.HashKey(fmt.Sprint(i))}
		m.Customers = append(m.Customers, c)
	}
	before, _ := manifest.Split(m)
	slices.Reverse(m.Customers)
	if reordered, _ := manifest.Split(m); !reflect.DeepEqual(before, reordered) {
		t.Error("the order of customers changes the sections")
	}
	m.Customers[500].Weight++
	after, _ := manifest.Split(m)
	var changedBytes, totalBytes int
	for i := range before {
		totalBytes += len(after[i].Body)
		if before[i].Digest != after[i].Digest {
			changedBytes += len(after[i].Body)
		}
	}
	if changedBytes == 0 || changedBytes > totalBytes/20 {
		t.Errorf("a change to one customer changes sections with %d of %d bytes, want at most 5%%", changedBytes, totalBytes)
	}
}

// If Join did not restore exactly what Split was given, instances would activate another manifest than was committed.
func TestJoinRestores(t *testing.T) {
	m, _ := manifest.Parse([]byte(minimalManifest(t)))
	sections, _ := manifest.Split(m)
	bodies := map[string][]byte{}
	for _, s := range sections {
		bodies[s.Digest] = s.Body
	}
	load := func(digest string) ([]byte, error) { return bodies[digest], nil }
	refs := manifest.Refs(sections)
	got, err := manifest.Join(refs, load)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("Join() = %+v, %v, want %+v", got, err, m)
	}
	for i := range refs {
		if _, err := manifest.Join(slices.Delete(slices.Clone(refs), i, i+1), load); err == nil && !strings.HasPrefix(refs[i].Name, "customers") {
			t.Errorf("a manifest without section %s is accepted", refs[i].Name)
		}
		if _, err := manifest.Join(append(slices.Clone(refs), refs[i]), load); err == nil {
			t.Errorf("a manifest with two sections %s is accepted", refs[i].Name)
		}
	}
	for digest := range maps.Clone(bodies) {
		bodies[digest] = []byte("[]")
	}
	if _, err := manifest.Join(refs, load); err == nil {
		t.Error("section bodies that do not match their digests are accepted")
	}
}

// A panic in Parse would stop a commit, and accepting what encoding/json rejects could hide a mistake. An accepted manifest
// must compile, and encoding and parsing it must not change its digest.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalManifest(f)))
	f.Add([]byte(`{"service": "x", "service": null, "models": [{}], "customers": [[]], "limits": {"default-timeout-ms": 1e3}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Parse(data)
		if err != nil {
			return
		}
		if !json.Valid(data) {
			t.Fatal("a document that is not JSON is accepted")
		}
		x, err := manifest.Compile(1, m)
		if err != nil {
			t.Fatalf("a parsed manifest does not compile: %v", err)
		}
		encoded, _ := json.Marshal(x.Manifest)
		reparsed, err := manifest.Parse(encoded)
		if err != nil {
			t.Fatalf("an encoded manifest is rejected: %v", err)
		}
		if y, _ := manifest.Compile(1, reparsed); y.Digest != x.Digest {
			t.Fatal("encoding and parsing a manifest changes its digest")
		}
	})
}

func ExampleParse() {
	_, err := manifest.Parse([]byte(`{"service": "assistant", "final-date": "30 June"}`))
	var invalid *manifest.InvalidError
	if errors.As(err, &invalid) {
		fmt.Println(invalid.Problems[0])
	}
	// Output:
	// limits: the field is missing; add the field
}
