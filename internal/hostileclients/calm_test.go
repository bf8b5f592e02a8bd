//go:build crowd

package hostileclients

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"
)

// BenchmarkCalmRequest measures single requests, one after the other on a connection, at the real programs. POPLARWINCH_BINARY names another
// version of the program to compare with.
func BenchmarkCalmRequest(b *testing.B) {
	for program, start := range map[string]startTarget{"platform": startPlatform, "serve": startServe} {
		b.Run(program, func(b *testing.B) {
			p := start(b, limits{})
			c, err := net.Dial("tcp", p.address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			var times []time.Duration
			for b.Loop() {
				began := time.Now()
				if _, err := io.WriteString(c, p.head+"Content-Length: 4\r\n\r\nbody"); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				times = append(times, time.Since(began))
				if response.StatusCode != http.StatusOK {
					b.Fatal(response.Status)
				}
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2])/float64(time.Microsecond), "p50-us")
		})
	}
}
