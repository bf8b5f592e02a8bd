//go:build crowd

package hostileclients

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	// loweredMemory is the memory of the machine in the tests, and the bound of resident memory.
	loweredMemory = 48 << 20
	// loweredDescriptors is the limit of descriptors in the tests, of which reservedDescriptors are for files.
	loweredDescriptors  = 400
	reservedDescriptors = 200
	// runtimeFraction is the part of the machine's memory that the Go runtime's limit leaves to it.
	runtimeFraction = 0.7
	// answerBytes is the size of the answers that are not read.
	answerBytes = 256 << 10
	// ordinaryTimeout bounds one try of an ordinary request.
	ordinaryTimeout = 5 * time.Second
	// ordinaryTries is the number of tries of an ordinary request, with ordinaryPause between them.
	ordinaryTries = 6
	ordinaryPause = 200 * time.Millisecond
)

// target is a program under test with the requests that it serves.
type target struct {
	*process
	address string
	// head has the request line and the headers of an ordinary POST without those of its body, and without the empty line.
	head string
	// unread are whole requests with large answers.
	unread []string
}

// startTarget starts a program with its surroundings.
type startTarget func(t testing.TB, s limits) *target

// limits are the settings of a program that differ between tests; the zero value stands for the defaults.
type limits struct {
	memory      int64
	descriptors int
	maxBody     int64
}

// lowered are the limits of the tests with clients outside the limits.
var lowered = limits{memory: loweredMemory, descriptors: loweredDescriptors, maxBody: 1 << 20}

// send sends a POST with the body on a new connection and returns an error unless it is answered with 200.
func (p *target) send(body io.Reader, length int64, padding string) error {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: ordinaryTimeout, Transport: transport}
	lines := strings.Split(strings.TrimSuffix(p.head, "\r\n"), "\r\n")
	path := strings.Fields(lines[0])[1]
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address+path, body)
	if err != nil {
		return err
	}
	request.ContentLength = length
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	request.Host = request.Header.Get("Host")
	request.Header.Del("Host")
	if padding != "" {
		request.Header.Set("X-Padding", padding)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %.200s", response.StatusCode, text)
	}
	return err
}

// ordinary sends ordinary requests until one is answered.
func (p *target) ordinary(when string) {
	p.t.Helper()
	var err error
	for range ordinaryTries {
		if err = p.send(strings.NewReader("body"), 4, ""); err == nil || !p.alive() {
			break
		}
		time.Sleep(ordinaryPause)
	}
	if err != nil {
		p.t.Errorf("no ordinary request is answered %s: %v", when, err)
	}
}

// check checks what does not depend on the speed of the machine.
func (p *target) check() {
	p.t.Helper()
	if !p.alive() {
		p.t.Fatal("the process has ended")
	}
	memory, descriptors := p.peakMemory(), p.descriptors.Load()
	p.t.Logf("peak of resident memory %.1f MiB, of descriptors %d", float64(memory)/(1<<20), descriptors)
	if memory > loweredMemory {
		p.t.Errorf("the process had %d bytes of resident memory; the bound is %d", memory, loweredMemory)
	}
	if most := int64(loweredDescriptors - reservedDescriptors); descriptors > most {
		p.t.Errorf("the process had %d open descriptors; the bound is %d", descriptors, most)
	}
}

// writeFile writes a file of the test's directory.
func writeFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
