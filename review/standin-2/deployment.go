//go:build review2

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

// deployment is a small deployment on loopback addresses: a store, servers and instances as separate processes.
type deployment struct {
	network   string
	directory string
	record    *recorder
	store     *emulator.Store
	address   string
	instances []*instance
}

// recorder writes what happened to record.txt.
type recorder struct {
	mutex sync.Mutex
	out   *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, start: time.Now()}, nil
}

func (r *recorder) log(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// freeNetwork returns a /24 of loopback addresses of which the first ones have no listener on the ports that are used.
func freeNetwork() string {
	for n := os.Getpid(); ; n++ {
		network := fmt.Sprintf("127.%d.%d", 130+n%100, n/100%250)
		if isFree(network) {
			return network
		}
	}
}

// isFree reports whether the ports of the instances' settings and that for metrics are free on the addresses of three instances.
func isFree(network string) bool {
	for _, host := range []string{".10", ".11", ".12"} {
		for _, port := range []string{":8227", ":8220", ":8229", ":7340", ":9464"} {
			l, err := net.Listen("tcp", network+host+port)
			if err != nil {
				return false
			}
			_ = l.Close()
		}
		u, err := net.ListenPacket("udp", network+host+":7340")
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

func newDeployment(record *recorder, configuration string) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{network: freeNetwork(), directory: directory, record: record, store: emulator.NewStore()}
	l, err := net.Listen("tcp", d.network+".1:0")
	if err != nil {
		return nil, err
	}
	d.address = l.Addr().String()
	go func() { _ = http.Serve(l, d.store) }()
	d.store.Put(emulator.OperatorTable, emulator.ConfigurationKey, configuration)
	return d, nil
}

// instance is a process under test.
type instance struct {
	emulator.Instance
	d        *deployment
	settings string
	// output gets what the process logs.
	output io.Writer

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	endedAt time.Time
	status  string
}

func (d *deployment) add(name, zone string, memoryMB int, output io.Writer) (*instance, error) {
	n := len(d.instances)
	i := &instance{Instance: emulator.Instance{
		Name: name, Zone: zone, IP: fmt.Sprintf("%s.%d", d.network, 10+n), Store: d.address, MemoryMB: memoryMB,
		Seeds: []string{d.network + ".10", d.network + ".11", d.network + ".12"},
	}, d: d, settings: filepath.Join(d.directory, name+".yaml"), output: output}
	if err := i.WriteSettings(i.settings); err != nil {
		return nil, err
	}
	d.instances = append(d.instances, i)
	return i, nil
}

func (i *instance) start() error {
	c := exec.Command("target/poplarwinch", "platform")
	c.Env = append(os.Environ(), emulator.SettingsVariable+"="+i.settings)
	c.Stdout, c.Stderr = i.output, i.output
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	started(c.Process)
	i.command, i.ended, i.status = c, make(chan struct{}), ""
	ended := i.ended
	i.d.record.log("%s started, process %d", i.Name, c.Process.Pid)
	go func() {
		err := c.Wait()
		i.mutex.Lock()
		i.endedAt, i.status = time.Now(), "exit status 0"
		if err != nil {
			i.status = err.Error()
		}
		i.d.record.log("%s, process %d, has ended: %s", i.Name, c.Process.Pid, i.status)
		i.mutex.Unlock()
		close(ended)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.d.record.log("%s gets %v", i.Name, s)
	_ = i.command.Process.Signal(s)
}

func (i *instance) alive() bool {
	select {
	case <-i.ended:
		return false
	default:
		return true
	}
}

func (i *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, i.ReadinessURL(), http.NoBody)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns a line of the process's status in bytes, as VmRSS.
func (i *instance) memory(line string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(data), "\n") {
		var kb int64
		if strings.HasPrefix(l, line+":") {
			fmt.Sscanf(strings.TrimPrefix(l, line+":"), "%d", &kb)
			return kb << 10
		}
	}
	return 0
}

func (d *deployment) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, i := range d.instances {
			all = all && i.ready()
		}
		if all {
			return true
		}
	}
	return false
}

// close ends the processes that were started.
func (d *deployment) close() {
	for _, i := range d.instances {
		if i.command == nil {
			continue
		}
		if i.alive() {
			_ = i.command.Process.Kill()
		}
		<-i.ended
	}
	_ = os.RemoveAll(d.directory)
}
