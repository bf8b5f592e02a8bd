package placement

import (
	"slices"
	"strings"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// testNow is the start time of the clocks in tests.
const testNow = clock.Hour

// parseModels parses models written as "a@1 b@2+x@1", where +x@1 is an adapter of b.
func parseModels(text string) []upstream.LoadedModel {
	models := []upstream.LoadedModel{}
	for _, field := range strings.Fields(text) {
		parts := strings.Split(field, "+")
		name, version, _ := strings.Cut(parts[0], "@")
		m := upstream.LoadedModel{Name: poplarwinch.ModelName(name), Version: version}
		for _, part := range parts[1:] {
			name, version, _ := strings.Cut(part, "@")
			m.Adapters = append(m.Adapters, upstream.LoadedAdapter{Name: poplarwinch.AdapterName(name), Version: version})
		}
		models = append(models, m)
	}
	return models
}

// newManifest returns a manifest with models written as for parseModels and the minimum numbers of engines by model
// name.
func newManifest(models string, minimums map[string]int, loads int) *manifest.Manifest {
	m := &manifest.Manifest{Engines: manifest.Engines{MaxConcurrentLoads: loads}}
	for _, l := range parseModels(models) {
		model := manifest.Model{Name: l.Name, Version: l.Version, MinEngines: minimums[string(l.Name)]}
		for _, a := range l.Adapters {
			model.Adapters = append(model.Adapters, manifest.Adapter{Name: a.Name, Version: a.Version})
		}
		m.Models = append(m.Models, model)
	}
	return m
}

// TestDecide guards against engines that are left without a model, moved without need, or taken from a model that needs
// them. Engines are identified by their index. "-" before the models marks an engine that is down or leaving, "?" one
// without a recent observation, "a@1 > b@1" one with a pending order, and "a@1 >! b@1" one whose order has timed out.
func TestDecide(t *testing.T) {
	for name, test := range map[string]struct {
		models   string
		minimums map[string]int
		demand   map[poplarwinch.ModelName]int64
		engines  []string
		loads    int
		want     []string
	}{
		"nothing to do": {models: "a@1+x@1", engines: []string{"a@1+x@1", "a@1+x@1"}, loads: 2},
		"empty engines load one after another": {
			models: "a@1", engines: []string{"", "", ""}, loads: 2, want: []string{"0 spare: a@1", "1 spare: a@1"},
		},
		"minimums come before demand": {
			models: "a@1 b@1", minimums: map[string]int{"b": 1}, demand: map[poplarwinch.ModelName]int64{"a": 100},
			engines: []string{"a@1", ""}, loads: 1, want: []string{"1 minimum: b@1"},
		},
		"a model with demand and no engine comes first": {
			models: "a@1 b@1", minimums: map[string]int{"a": 3}, demand: map[poplarwinch.ModelName]int64{"b": 1},
			engines: []string{"a@1", "", ""}, loads: 1, want: []string{"1 unmet-demand: b@1"},
		},
		"engines without a model of the manifest are reused": {
			models: "a@1", minimums: map[string]int{"a": 1}, engines: []string{"z@1"}, loads: 1, want: []string{"0 minimum: a@1"},
		},
		"removed models are unloaded without a load": {
			models: "a@1", engines: []string{"a@1 z@1"}, loads: 0, want: []string{"0 removed: a@1"},
		},
		"several wanted models stay": {models: "a@1 b@1", engines: []string{"a@1 b@1"}, loads: 1},
		"a small difference of demand moves nothing": {
			models: "a@1 b@1", demand: map[poplarwinch.ModelName]int64{"a": 50, "b": 50},
			engines: []string{"a@1", "a@1", "a@1", "b@1", "b@1"}, loads: 1,
		},
		"a large difference of demand moves an engine": {
			models: "a@1 b@1", demand: map[poplarwinch.ModelName]int64{"a": 10, "b": 90},
			engines: []string{"a@1", "a@1", "a@1", "b@1", "b@1"}, loads: 1, want: []string{"0 demand: b@1"},
		},
		"the last engine of a model with demand stays": {
			models: "a@1 b@1", minimums: map[string]int{"b": 2}, demand: map[poplarwinch.ModelName]int64{"a": 1, "b": 1000},
			engines: []string{"a@1", "b@1"}, loads: 1,
		},
		"a model without demand gives up its last engine": {
			models: "a@1 b@1", demand: map[poplarwinch.ModelName]int64{"b": 1000},
			engines: []string{"a@1"}, loads: 1, want: []string{"0 unmet-demand: b@1"},
		},
		"a version is replaced on one engine at a time": {
			models: "a@2", minimums: map[string]int{"a": 1}, engines: []string{"a@1", "a@1", "a@1"}, loads: 3,
			want: []string{"0 version: a@2"},
		},
		"the next engine waits for the one before": {
			models: "a@2", minimums: map[string]int{"a": 1}, engines: []string{"a@1 > a@2", "a@1", "a@1"}, loads: 3,
		},
		"at the minimum the current version is loaded beside the earlier one": {
			models: "a@2", minimums: map[string]int{"a": 2}, engines: []string{"a@1", "a@1"}, loads: 3,
			want: []string{"0 version: a@1 a@2"},
		},
		"the earlier version goes once the current one is loaded": {
			models: "a@2", minimums: map[string]int{"a": 1}, engines: []string{"a@1 a@2"}, loads: 1, want: []string{"0 removed: a@2"},
		},
		"an adapter's version is a version": {
			models: "a@1+x@2", engines: []string{"a@1+x@1", "a@1+x@2"}, loads: 1, want: []string{"0 version: a@1+x@2"},
		},
		"pending loads count": {
			models: "a@1", engines: []string{" > a@1", ""}, loads: 1,
		},
		"a failed load makes room for others": {
			models: "a@1", minimums: map[string]int{"a": 1}, engines: []string{" >! a@1", ""}, loads: 1,
			want: []string{"1 minimum: a@1"},
		},
		"a failed update does not stop the others": {
			models: "a@2", minimums: map[string]int{"a": 2}, engines: []string{"a@1 >! a@1 a@2", "a@1"}, loads: 1,
			want: []string{"1 version: a@1 a@2"},
		},
		"leaving, down and unobserved engines get no order": {
			models: "a@1", minimums: map[string]int{"a": 3}, engines: []string{"-z@1", "?z@1", "z@1"}, loads: 3,
			want: []string{"2 minimum: a@1"},
		},
		"an order for a model that the manifest no longer names is replaced": {
			models: "a@2", engines: []string{"a@1 > a@1 z@1"}, loads: 1, want: []string{"0 version: a@2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			input := planInput{
				now: testNow, manifest: newManifest(test.models, test.minimums, test.loads), demand: test.demand,
				pending: map[poplarwinch.UpstreamID]*pending{},
			}
			for i, text := range test.engines {
				e := Engine{ID: poplarwinch.UpstreamID('0' + rune(i)), Up: !strings.HasPrefix(text, "-"), At: testNow}
				if strings.HasPrefix(text, "?") {
					e.At = 0
				}
				observed, ordered, hasOrder := strings.Cut(strings.TrimLeft(text, "-?"), ">")
				e.Models = parseModels(observed)
				if hasOrder {
					ordered, failed := strings.CutPrefix(ordered, "!")
					order := &pending{models: parseModels(ordered), firstSent: testNow, repeatAt: testNow + 1}
					if failed {
						order.firstSent -= loadTimeout + 1
					}
					input.pending[e.ID] = order
				}
				input.engines = append(input.engines, e)
			}
			var got []string
			for _, a := range decide(input) {
				got = append(got, string(a.engine.ID)+" "+string(a.reason)+": "+strings.Join(formatTestModels(a.want), " "))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// formatTestModels is the inverse of parseModels.
func formatTestModels(models []upstream.LoadedModel) []string {
	var list []string
	for _, m := range models {
		text := string(m.Name) + "@" + m.Version
		for _, a := range m.Adapters {
			text += "+" + string(a.Name) + "@" + a.Version
		}
		list = append(list, text)
	}
	return list
}
