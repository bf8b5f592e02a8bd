//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// instance is a process of the deploy file's role.
type instance struct {
	name    string
	ip      string
	command *exec.Cmd
}

// settingsText has the settings of DEPLOY.md that differ between instances as placeholders: name, ip, zone, seeds and store.
const settingsText = `node_name: "NAME"
role: "entry"
machine_class: "edge"
serves: ["edge", "control"]
ip: "IP"
zone: "ZONE"
region: "cascadia"
listen:
  front: "IP:8227"
  ready: "IP:8220"
  control: "IP:8229"
internal_port_range: [7340, 7355]
seed_nodes: [SEEDS]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4200, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
heartbeat_ms: 1200
bounds:
  contact_ms: 3000
  drain_ms: 2000
  grace_s: 8
  config_apply_ms: 2000
  budget_ratio: 0.2
  budget_window_s: 10
  budget_slack: 100
  stall_ms: 1500
  hold_max_ms: 20000
  free_ms: 4000
  idle_max_ms: 9000
platform: {address: "STORE", form: "table", writes_per_s: 400, reads_per_s: 2000}
`

func newInstance(w *world, binary string, n int, zone string) (*instance, error) {
	i := &instance{name: fmt.Sprintf("edge-%s-%d", zone, n+1), ip: fmt.Sprintf("%s.%d", w.network, 10+n)}
	var seeds []string
	for k := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s.%d:8229", w.network, 10+k)))
	}
	text := strings.NewReplacer("NAME", i.name, "IP", i.ip, "ZONE", zone, "SEEDS", strings.Join(seeds, ", "), "STORE", w.store.address).Replace(settingsText)
	path := filepath.Join(w.directory, i.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(w.directory, i.name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }() // the process has its own descriptor
	i.command = exec.Command(binary, "platform")
	i.command.Env = append(os.Environ(), "POPLARWINCH_NODE_FILE="+path)
	i.command.Stdout, i.command.Stderr = output, output
	return i, i.command.Start()
}

// front is the address for clients.
func (i *instance) front() string { return i.ip + ":8227" }

// ready asks the instance like the platform's entry.
func (i *instance) ready() bool {
	client := &http.Client{Timeout: time.Second}
	a, err := client.Get("http://" + i.ip + ":8220/-/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

func (i *instance) kill() {
	_ = i.command.Process.Kill()
	_ = i.command.Wait()
}
