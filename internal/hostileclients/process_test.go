//go:build crowd

package hostileclients

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// sampleInterval is the time between two counts of a process's open descriptors.
	sampleInterval = 10 * time.Millisecond
	// startTimeout bounds the wait until a program is ready.
	startTimeout = 20 * time.Second
)

// process is a running program under test.
type process struct {
	t       testing.TB
	command *exec.Cmd
	log     string
	ended   chan struct{}
	// descriptors is the highest number of open descriptors that was seen.
	descriptors atomic.Int64
}

// startProcess starts the program with a limit of descriptors, and stops it at the end of the test.
func startProcess(t testing.TB, descriptors int, environment []string, arguments ...string) *process {
	t.Helper()
	binary, err := filepath.Abs(cmp.Or(os.Getenv("POPLARWINCH_BINARY"), "../../bin/poplarwinch"))
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, log: filepath.Join(t.TempDir(), "log"), ended: make(chan struct{})}
	output, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	shell := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	p.command = exec.Command("sh", append([]string{"-c", shell, binary}, arguments...)...)
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go p.run()
	go p.sample()
	t.Cleanup(p.stop)
	return p
}

func (p *process) run() {
	_ = p.command.Wait() // the exit status of a killed process says nothing
	close(p.ended)
}

// sample records the highest number of open descriptors until the process ends.
func (p *process) sample() {
	for p.alive() {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		p.descriptors.Store(max(p.descriptors.Load(), int64(len(entries))))
		time.Sleep(sampleInterval)
	}
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) stop() {
	_ = p.command.Process.Kill()
	<-p.ended
	if data, err := os.ReadFile(p.log); p.t.Failed() && err == nil {
		p.t.Logf("end of the log:\n%s", data[max(0, len(data)-2000):])
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (p *process) peakMemory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for line := range bytes.Lines(data) {
		if value, ok := strings.CutPrefix(string(line), "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10
		}
	}
	p.t.Fatal("no VmHWM in the status of the process")
	return 0
}

// await waits until the condition holds, and fails the test after startTimeout.
func (p *process) await(what string, condition func() bool) {
	p.t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && p.alive(); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	p.t.Fatalf("not reached: %s", what)
}
