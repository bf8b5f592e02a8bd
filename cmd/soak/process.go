package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

// instance is a process of the role under test, which is started again after each end.
type instance struct {
	emulator.Instance
	binary   string
	settings string
	output   *os.File

	mutex    sync.Mutex
	command  *exec.Cmd
	expected bool
	// unexpected counts ends that no fault of the series caused.
	unexpected int
	closed     bool
	starts     []time.Time
}

func newInstance(i emulator.Instance, binary, directory string) (*instance, error) {
	p := &instance{Instance: i, binary: binary, settings: filepath.Join(directory, i.Name+".yaml")}
	if err := i.WriteSettings(p.settings); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(directory, i.Name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create the log of %s: %w", i.Name, err)
	}
	p.output = output
	return p, p.start()
}

// start starts the process, unless the instance is closed.
func (p *instance) start() error {
	c := exec.Command(p.binary, "platform")
	c.Env = append(os.Environ(), emulator.SettingsVariable+"="+p.settings)
	c.Stdout, c.Stderr = p.output, p.output
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command, p.expected = c, false
	p.starts = append(p.starts, time.Now())
	go p.run(c)
	return nil
}

// run waits for the end of the process and starts it again.
func (p *instance) run(c *exec.Cmd) {
	_ = c.Wait() // the exit status of a signalled process says nothing
	p.mutex.Lock()
	closed := p.closed
	if !p.expected && !closed {
		p.unexpected++
	}
	p.mutex.Unlock()
	if closed {
		return
	}
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// signal sends the process a signal; an end that follows is expected.
func (p *instance) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.expected = true
	}
	_ = p.command.Process.Signal(s) // the process may have ended
}

// stop sends SIGTERM, and SIGKILL after the grace period if the same process is still there.
func (p *instance) stop() {
	p.mutex.Lock()
	c := p.command
	p.mutex.Unlock()
	p.signal(syscall.SIGTERM)
	time.AfterFunc(stopGrace, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if p.command == c {
			_ = c.Process.Kill()
		}
	})
}

func (p *instance) close() {
	p.mutex.Lock()
	p.closed = true
	if p.command != nil {
		_ = p.command.Process.Kill() // also ends a process that is paused
	}
	p.mutex.Unlock()
	_ = p.output.Close()
}

func (p *instance) unexpectedEnds() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.unexpected
}

// startTimes returns the times at which the processes started.
func (p *instance) startTimes() []time.Time {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]time.Time{}, p.starts...)
}
