//go:build crowd

package hostileclients

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/objects"
	"github.com/poplarwinch/poplarwinch/emulator/roster"
	"github.com/poplarwinch/poplarwinch/emulator/service"
	"github.com/poplarwinch/poplarwinch/emulator/table"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// callerKey is the API key of the only customer.
const callerKey = "crowd-test-key"

const serveManifest = `{
  "service": "test-service", "final-date": "2099-12-31Z",
  "limits": {"default-timeout-ms": 10000, "max-timeout-ms": 30000, "max-prompt-tokens": 1000000},
  "models": [{"name": "drafting", "version": "1", "context-tokens": 1000000, "bytes-per-token": 4, "min-engines": 1}],
  "services": [{"name": "bookings", "timeout-ms": 10000, "non-repeatable": []}],
  "engines": {"checks-fencing-numbers": true, "memory-tokens": 400000, "prefill-tokens-per-second": 40000, "max-concurrent-loads": 2},
  "customers": [{"id": "one", "weight": 2, "key-hashes": ["HASH"], "max-requests-in-flight": 1000, "max-tokens-in-flight": 8000000,
    "models": ["drafting"], "services": ["bookings"]}]
}`

// startServe starts "poplarwinch serve" with emulated platform services and a plain service.
func startServe(t testing.TB, s limits) *target {
	t.Helper()
	start := func(h http.Handler) *httptest.Server {
		server := httptest.NewServer(h)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return server
	}
	bookings := start(service.New())
	host, port, _ := net.SplitHostPort(bookings.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	list := roster.New(roster.WithEndpoints([]roster.Endpoint{{
		ID: "bookings-1", Kind: "service", Name: "bookings", IP: host, Ports: map[string]int{"http": number}, FailureDomain: "domain-a",
	}}))
	caller, operator := freeAddress(t), freeAddress(t)
	callerLines, environment := "", []string{}
	if s.memory > 0 {
		callerLines = fmt.Sprintf("[caller]\nmax-body-mib = %d\nbody-memory-mib = %d\n", s.maxBody>>20, max(s.memory/5, s.maxBody)>>20)
		environment = append(environment, fmt.Sprintf("GOMEMLIMIT=%d", int64(runtimeFraction*float64(s.memory))))
	}
	directory := t.TempDir()
	writeFile(t, filepath.Join(directory, "secret"), "a-peer-secret-for-tests")
	file := filepath.Join(directory, "settings.ini")
	writeFile(t, file, fmt.Sprintf(`
[instance]
id = entry-1
service = test-service
region = test
failure-domain = domain-a
[listen]
caller = %s
peer = %s
operator = %s
%s
[platform]
table-endpoint = %s
table-name = test
objects-endpoint = %s
bucket = test
region = test
access-key-id = test
secret-access-key-file = secret
instance-list = %s
[peers]
secret-file = secret
`, caller, freeAddress(t), operator, callerLines, start(table.New()).URL, start(objects.New()).URL, start(list).URL))
	descriptors := s.descriptors
	if descriptors == 0 {
		descriptors = 4100
	}
	p := &target{process: startProcess(t, descriptors, environment, "serve", file), address: caller}
	common := "Host: a.example\r\nAuthorization: Bearer " + callerKey + "\r\n"
	p.head = "POST /services/bookings/x HTTP/1.1\r\n" + common
	p.unread = []string{fmt.Sprintf("GET /services/bookings/x?answer-bytes=%d HTTP/1.1\r\n%s\r\n", answerBytes, common)}
	p.await("the manifest is accepted", func() bool { return commitManifest(operator) })
	p.await("the instance is ready", func() bool { return isOK("http://" + caller + "/readyz") })
	return p
}

// commitManifest commits the manifest and reports whether it was accepted.
func commitManifest(operator string) bool {
	text := strings.Replace(serveManifest, "HASH", manifest.HashKey(callerKey), 1)
	request, err := http.NewRequest(http.MethodPut, "http://"+operator+"/manifest", strings.NewReader(text))
	if err != nil {
		return false
	}
	request.Header.Set("Replaces", "0")
	request.Header.Set("Commit-Id", "commit-0")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
