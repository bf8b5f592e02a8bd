package gossip

import (
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
	"github.com/poplarwinch/poplarwinch/replica"
)

// messageBeforeEras is the datagram of instances that don't know eras.
type messageBeforeEras struct {
	_         struct{} `cbor:",toarray"`
	From      poplarwinch.InstanceID
	Domain    poplarwinch.FailureDomain
	Boot      int64
	Sequence  uint64
	Versions  map[string]replica.Version
	Servers   []serverWork
	Limits    []serverLimit
	Waiting   int
	Suspects  []suspect
	OwnWork   bool
	Summaries []summary
	Follows   bool
	Failing   bool
	CellIndex int
	CellCount int
	Changes   []tableChangesBeforeEras
	Leaving   bool
}

// serverLimit was what such a datagram said of a server with a limit.
type serverLimit struct {
	_     struct{} `cbor:",toarray"`
	ID    poplarwinch.UpstreamID
	Sent  int
	Known bool
	Rate  fleet.RequestRate
	Age   clock.Millis
}

// tableChangesBeforeEras are changes of a table in such a datagram.
type tableChangesBeforeEras struct {
	_       struct{} `cbor:",toarray"`
	Table   string
	After   replica.Version
	Version replica.Version
	Rows    []replica.Row
}

// Guards against a rolling upgrade in which the instances before and after it count as dead for each other.
func TestDatagramsBesideTheVersionBefore(t *testing.T) {
	g, _ := holder(t, 5)
	old, err := g.codec.Marshal(messageBeforeEras{From: "j", Domain: "north", Boot: 1, Sequence: 1, Versions: map[string]replica.Version{"servers": 5}, OwnWork: true})
	if err != nil {
		t.Fatal(err)
	}
	var m message
	if err := g.codec.Unmarshal(old, &m); err != nil || m.From != "j" || !m.OwnWork {
		t.Errorf("a datagram of the version before is dropped: %v", err)
	}
	current, err := g.codec.Marshal(g.message())
	if err != nil {
		t.Fatal(err)
	}
	var decoded messageBeforeEras
	if err := g.codec.Unmarshal(current, &decoded); err != nil {
		t.Errorf("the version before drops a datagram: %v", err)
	}
}
