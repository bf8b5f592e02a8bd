package entry

import (
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

// Guards against a block that never ends because the one prompt that may test it is ruled on twice: when it is admitted and when its engine
// is selected. A second engine doesn't run it.
func TestPromptThatTestsABlock(t *testing.T) {
	m := clock.NewManual(1_000_000)
	register := quarantine.New(quarantine.WithClock(m.Clock()))
	suspects := func(name string) quarantine.PromptSuspects {
		return quarantine.NewPromptSuspects(quarantine.FingerprintOf("c", "m", []byte(name)), []poplarwinch.PromptPartID{"part"})
	}
	for n := range 3 {
		death := quarantine.Death{Upstream: poplarwinch.UpstreamID(fmt.Sprint("e", n)), At: m.Now(), Silence: 100}
		register.RecordCrash(suspects(fmt.Sprint("r", n)), death)
		m.Advance(400)
	}
	m.Advance(clock.Second)
	prompt := func() *promptRun {
		p := &promptRun{exchange: &exchange{server: &Server{quarantine: register}}, suspects: suspects("new")}
		p.fingerprint = p.suspects.Request
		return p
	}
	if err := prompt().rejected(); err == nil {
		t.Fatal("the part is not blocked")
	}
	m.Advance(3 * clock.Minute)
	p := prompt()
	for _, step := range []string{"admission", "selection"} {
		if err := p.rejected(); err != nil {
			t.Errorf("at its %s the prompt got %v", step, err)
		}
	}
	if err := prompt().rejected(); err == nil {
		t.Error("a second prompt may run at once")
	}
	p.mayHaveRun = true
	if err := p.rejected(); err == nil {
		t.Error("the prompt may run on a second engine")
	}
}
