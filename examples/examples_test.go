package examples_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/settings"
)

// An example that no longer loads would fail for users who start a deployment from it.
func TestExamplesLoad(t *testing.T) {
	deployments := map[string]struct {
		service string
		model   poplarwinch.ModelName
		plain   poplarwinch.ServiceName
		method  string
		path    string
	}{
		"maraval":   {"maraval-assistant", "drafting", "bookings", "POST", "/bookings"},
		"cedarline": {"cedarline-tagging", "tagging", "licensing", "POST", "/confirmations"},
	}
	for name, want := range deployments {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join(name, "manifest.json"))
			if err != nil {
				t.Fatal(err)
			}
			m, err := manifest.Parse(data)
			if err != nil {
				t.Fatal(err)
			}
			x, err := manifest.Compile(1, m)
			if err != nil {
				t.Fatal(err)
			}
			for i, c := range m.Customers {
				key := fmt.Sprintf("%s-example-key-%02d", name, i+1)
				if got, ok := x.Authenticate(key); !ok || got.ID != c.ID {
					t.Errorf("key %s does not belong to customer %s", key, c.ID)
				}
				if !c.MayUseModel(want.model) || !c.MayUseService(want.plain) {
					t.Errorf("customer %s may not use the model or the service", c.ID)
				}
			}
			s, ok := x.Service(want.plain)
			if !ok || !s.IsNonRepeatable(want.method, want.path) || s.IsNonRepeatable("GET", want.path) {
				t.Errorf("service %s: only %s %s is non-repeatable", want.plain, want.method, want.path)
			}
			checkSettings(t, name, want.service)
		})
	}
}

// checkSettings checks that the deployment has valid settings files for three failure domains.
func checkSettings(t *testing.T, name, service string) {
	files, err := filepath.Glob(filepath.Join(name, "*.ini"))
	if err != nil || len(files) != 3 {
		t.Fatalf("found settings files %v, %v; want one for each of 3 failure domains", files, err)
	}
	domains := map[poplarwinch.FailureDomain]bool{}
	for _, file := range files {
		s, err := settings.Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		domains[s.Instance.FailureDomain] = true
		if s.Instance.Service != service || !s.Listen.Caller.Addr().IsLoopback() {
			t.Errorf("%s: service %s, address %s", file, s.Instance.Service, s.Listen.Caller)
		}
	}
	if len(domains) != 3 {
		t.Errorf("failure domains %v, want 3", domains)
	}
}
