package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// A response truncated at any byte must yield only complete events and must not look complete.
func TestTruncationAtEveryByte(t *testing.T) {
	var full bytes.Buffer
	for n := 1; n <= 4; n++ {
		fmt.Fprintf(&full, ": waiting\n\nid: s/%d\r\ndata: {\"text\":\"t%d\"}\n\n", n, n)
	}
	full.WriteString("id: s/5\ndata: [DONE]\n\n")
	for cut := range full.Len() {
		c := New()
		s := newStream(t.Context(), t.Context(), func() {}, c, "address", "s", 0, &http.Response{Body: io.NopCloser(bytes.NewReader(full.Bytes()[:cut]))})
		n := 0
		for {
			f, err := s.Next(t.Context())
			if err != nil {
				var e *StreamError
				if !errors.As(err, &e) || e.Reason != ReasonTruncated {
					t.Fatalf("cut at %d: %v", cut, err)
				}
				break
			}
			if f.Waiting {
				continue
			}
			n++
			if want := fmt.Sprintf(`{"text":"t%d"}`, n); f.Done || string(f.Data) != want {
				t.Fatalf("cut at %d: frame %q, want %q", cut, f.Data, want)
			}
		}
	}
}

// An engine that sends overlong lines or malformed event ids must not exhaust memory or deliver unverified frames.
func TestMalformedStreams(t *testing.T) {
	for _, c := range []struct{ name, input string }{
		{"long line", "id: s/1\ndata: " + strings.Repeat("x", 2000) + "\n\n"},
		{"many data lines", "id: s/1\n" + strings.Repeat("data: "+strings.Repeat("x", 500)+"\n", 3) + "\n"},
		{"no id", "data: {}\n\n"},
		{"id without stream", "id: 1\ndata: {}\n\n"},
		{"number not decimal", "id: s/x\ndata: {}\n\n"},
		{"number below 1", "id: s/0\ndata: {}\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStream(t.Context(), t.Context(), func() {}, New(WithMaxLine(1000)), "address", "s", 0, &http.Response{Body: io.NopCloser(strings.NewReader(c.input))})
			_, err := s.Next(t.Context())
			var e *StreamError
			if !errors.As(err, &e) || e.Reason != ReasonMalformed {
				t.Fatalf("error %v", err)
			}
			if _, again := s.Next(t.Context()); again != err {
				t.Fatalf("second call after a failure: %v", again)
			}
		})
	}
}

// A load report with missing or malformed metrics must not be taken for an idle engine.
func TestParseLoad(t *testing.T) {
	const full = "# HELP x\nengine_running_requests 3\nengine_waiting_requests 2\nengine_waiting_prefill_tokens{pool=\"a\"} 5e3\n" +
		"engine_kv_used_tokens 7\nengine_kv_capacity_tokens 9\nengine_prefill_tokens_per_second 40000\nengine_report_age_ms 250\nother 1\n"
	l, err := parseLoad([]byte(full))
	if want := (Load{3, 2, 5000, 7, 9, 40000, 250}); err != nil || l != want {
		t.Fatalf("%+v, %v", l, err)
	}
	for _, broken := range []string{strings.Replace(full, "engine_kv_used_tokens 7\n", "", 1), strings.Replace(full, " 250", " soon", 1)} {
		if l, err := parseLoad([]byte(broken)); err == nil {
			t.Fatalf("accepted %+v", l)
		}
	}
}

func BenchmarkNext(b *testing.B) {
	var input bytes.Buffer
	for n := range b.N {
		fmt.Fprintf(&input, "id: 0f5a3c7e/%d\ndata: {\"id\":\"cmpl-1\",\"object\":\"text_completion\",\"created\":1,\"model\":\"drafting\",\"choices\":[{\"index\":0,\"text\":\" token\"}]}\n\n", n+1)
	}
	s := newStream(b.Context(), b.Context(), func() {}, New(), "address", "0f5a3c7e", 0, &http.Response{Body: io.NopCloser(&input)})
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
