package gossip

import (
	"reflect"
	"testing"

	"github.com/poplarwinch/poplarwinch/fleet"
)

// Guards against datagrams that grow although nothing waits, and against counts that get lost or are taken from a damaged datagram.
func TestWaitingInDatagrams(t *testing.T) {
	g, _ := holder(t, 5)
	size := func(list []fleet.WaitingCount) int {
		data, err := g.codec.Marshal(encodeWaiting(list))
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	number, err := g.codec.Marshal(0)
	if err != nil {
		t.Fatal(err)
	}
	list := []fleet.WaitingCount{{Service: "chat-service-0", Counts: fleet.ClassCounts{1, 0, 200}}, {Counts: fleet.ClassCounts{12}}}
	full := []fleet.WaitingCount{list[0], list[0], list[0], list[0], list[1]}
	t.Logf("%d bytes for none, before %d; %d for a service and others, %d at most", size(nil), len(number), size(list), size(full))
	if size(nil) > len(number) || size(full) > 120 {
		t.Errorf("got %d bytes for none and %d at most, want %d and 120", size(nil), size(full), len(number))
	}
	if got := competingWaiting(encodeWaiting(list), true); !reflect.DeepEqual(got, list) {
		t.Errorf("got %+v, want %+v", got, list)
	}
	if got := competingWaiting(encodeWaiting(list), false); len(got) != 1 || got[0] != (fleet.WaitingCount{Counts: fleet.ClassCounts{213}}) {
		t.Errorf("from another cell: got %+v", got)
	}
	if got := decodeWaiting([]waitingCount{{Counts: []int{-1, 2, 0, 0, 5}}}); got[0].Counts != (fleet.ClassCounts{0, 2}) {
		t.Errorf("damaged: got %+v", got)
	}
}
