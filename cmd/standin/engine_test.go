package main

import (
	"reflect"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/engine"
)

// An engine started with a wrongly parsed model argument would reject every prompt.
func TestParseModels(t *testing.T) {
	got, err := parseModels([]string{"drafting@1+letter@2+brief@3", "tagging@4"})
	want := []engine.Model{
		{Name: "drafting", Version: "1", Adapters: []engine.Adapter{{Name: "letter", Version: "2"}, {Name: "brief", Version: "3"}}},
		{Name: "tagging", Version: "4"},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	for _, text := range []string{"", "drafting", "@1", "drafting@", "drafting@1+", "drafting@1+letter"} {
		if got, err := parseModels([]string{text}); err == nil {
			t.Errorf("%q accepted as %+v", text, got)
		}
	}
}
