package gossip

import (
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/codec"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

// suspectsOfTheVersionBefore returns the suspects that the version before starts reads in a datagram.
func suspectsOfTheVersionBefore(list []suspect) []suspect {
	return slices.DeleteFunc(slices.Clone(list), func(s suspect) bool { return len(s.Fingerprint) != len(quarantine.Fingerprint{}) })
}

// Guards against crashes of a server that starts again under its id which count as one at the peers, and against datagrams that the version
// before can't read, or that it wrote.
func TestSuspectsHaveTheStartsOfServers(t *testing.T) {
	const now, born clock.Millis = 1_000_000, 1765142400000
	c, err := codec.NewCBOR()
	if err != nil {
		t.Fatal(err)
	}
	deaths := []quarantine.Death{
		{Upstream: "s1", Boot: int64(born), At: now - 4000, Silence: 20},
		{Upstream: "s2", Boot: int64(born + 7), At: now - 3000, Silence: 20},
		{Upstream: "s1", Boot: int64(born + 3000), At: now - 900, Silence: 20},
	}
	noticedLater := slices.Clone(deaths)
	for i := range noticedLater {
		noticedLater[i].At += 300
	}
	list := []quarantine.Suspect{{Fingerprint: quarantine.Fingerprint{1}, Deaths: deaths}, {Fingerprint: quarantine.Fingerprint{2}, Position: 1, Deaths: noticedLater}}
	data, err := c.Marshal(encodeSuspects(list, now))
	if err != nil {
		t.Fatal(err)
	}
	var received []suspect
	if err := c.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	decoded := decodeSuspects(received, now)
	deaths[1].Boot, noticedLater[1].Boot = 0, 0 // its server crashed once under its id, so that nothing depends on the start
	if len(decoded) != 2 || !slices.Equal(decoded[0].Deaths, deaths) || !slices.Equal(decoded[1].Deaths, noticedLater) {
		t.Errorf("got %+v, want %+v", decoded, list)
	}
	before := suspectsOfTheVersionBefore(received)
	if len(before) != 2 || len(before[0].Deaths) != 3 || before[0].Deaths[2].Silence != 20 {
		t.Errorf("the version before reads %+v", before)
	}
	for _, s := range decodeSuspects(before, now) {
		if slices.ContainsFunc(s.Deaths, func(d quarantine.Death) bool { return d.Boot != 0 }) {
			t.Errorf("a datagram of the version before gives %+v", s)
		}
	}
	withoutStarts, err := c.Marshal(before)
	if err != nil {
		t.Fatal(err)
	}
	if added := len(data) - len(withoutStarts); added > 40 {
		t.Errorf("the starts of a server that crashed twice take %d bytes, want 40 at most", added)
	}
}

// Guards against two crashes of a server that starts again under its id which count as one, because one of two instances that each recorded one
// of them reports the other one without its start.
func TestCrashesOfOneServerAtTwoInstances(t *testing.T) {
	m := clock.NewManual(1_000_000)
	suspects := quarantine.NewPromptSuspects(quarantine.Fingerprint{1}, nil)
	var registers []*quarantine.Register
	for range 3 {
		registers = append(registers, quarantine.New(quarantine.WithClock(m.Clock())))
	}
	exchange := func() {
		for _, from := range registers {
			report := encodeSuspects(from.Suspects(), m.Now())
			for _, to := range registers {
				if to != from {
					to.Merge(decodeSuspects(report, m.Now()))
				}
			}
		}
	}
	for n := range 2 {
		registers[n].RecordCrash(suspects, quarantine.Death{Upstream: "s1", Boot: int64(n + 1), At: m.Now(), Silence: 20})
		exchange()
		m.Advance(2000)
		exchange()
	}
	for n, g := range registers {
		if got := g.Deaths(suspects.Request); got != 2 {
			t.Errorf("instance %d knows of %d crashes, want 2", n, got)
		}
	}
}
