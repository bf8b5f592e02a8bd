package gossip

import (
	"reflect"
	"testing"

	"github.com/poplarwinch/poplarwinch/fleet"
)

// Guards against notices that are lost on the way to peers, or attributed to another server.
func TestNoticesInMessages(t *testing.T) {
	servers := []fleet.ServerWork{
		{ID: "e1", Load: fleet.Load{Requests: 1}},
		{ID: "e2", Sent: 7, Notice: fleet.NoticeReport{
			Boot: 1_765_000_000_000, Limit: fleet.LimitReport{Known: true, Rate: 2.5, Age: 30}, Leaving: fleet.LeavingReport{Known: true, Leaving: true, Age: 40}, Rest: 1500,
		}},
		{ID: "e3", Notice: fleet.NoticeReport{Boot: 5, Leaving: fleet.LeavingReport{Known: true, Age: 3}}},
	}
	if got := withNotices(decodeWork(encodeWork(servers)), encodeNotices(servers)); !reflect.DeepEqual(got, servers) {
		t.Errorf("got %+v, want %+v", got, servers)
	}
}

// Guards against datagrams that grow for all servers because a few have notices.
func TestServersWithoutNoticesTakeNoBytes(t *testing.T) {
	if list := encodeNotices([]fleet.ServerWork{{ID: "e1", Load: fleet.Load{Requests: 1}}, {ID: "e2", Unreachable: true}}); list != nil {
		t.Errorf("got %+v for servers without notices", list)
	}
}
