package assignment_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/fleet"
)

// hearsayTime is the time within which instances that are in touch learn from each other which servers are leaving: a report and, if it
// is lost, the next one.
const hearsayTime = 1100

// busiest returns the servers that got the most requests so far.
func (s *limitedServers) busiest(n int) []poplarwinch.UpstreamID {
	var ids []poplarwinch.UpstreamID
	for id := range s.arrivals {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b poplarwinch.UpstreamID) int { return len(s.arrivals[b]) - len(s.arrivals[a]) })
	return ids[:n]
}

// Guards against requests to servers that have said that they are leaving: from the instance that was told none at all, also while it is
// cut off from its peers, and from others none once they had time to hear of it, also from one that has just started. A successor under
// the same id is a candidate again.
func TestLeavingServersGetNoRequests(t *testing.T) {
	for _, instances := range []int{1, 6, 120} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			s := newLimitedServers(t, 4, 16, 0, instances)
			s.run(2000, 60)
			leaving := s.busiest(3)
			told := map[*limitedInstance]map[poplarwinch.UpstreamID]bool{}
			first := map[poplarwinch.UpstreamID]clock.Millis{}
			startedAt := map[*limitedInstance]clock.Millis{}
			s.answered = func(i *limitedInstance, id poplarwinch.UpstreamID, _ clock.Millis) fleet.Notice {
				if !slices.Contains(leaving, id) {
					return fleet.Notice{}
				}
				if told[i] == nil {
					told[i] = map[poplarwinch.UpstreamID]bool{}
				}
				told[i][id] = true
				if first[id] == 0 && !i.cut {
					first[id] = s.clock.Now()
				}
				return fleet.Notice{Leaving: true}
			}
			s.sent = func(i *limitedInstance, id poplarwinch.UpstreamID) {
				heardAt := max(first[id], startedAt[i])
				switch {
				case told[i][id]:
					t.Errorf("%s sent a request to %s, which had told it that it is leaving (cut off: %t)", i.id, id, i.cut)
				case first[id] > 0 && !i.cut && s.clock.Now() > heardAt+hearsayTime:
					t.Errorf("%s sent a request to %s %d ms after it could know that it is leaving", i.id, id, s.clock.Now()-heardAt)
				}
			}
			s.instances[0].cut = instances > 1
			s.run(4000, 60)
			s.start()
			startedAt[s.instances[len(s.instances)-1]] = s.clock.Now()
			s.run(4000, 60)
			if len(first) == 0 || instances > 1 && told[s.instances[0]] == nil {
				t.Errorf("%d servers told that they are leaving; the instance that is cut off was told %v", len(first), told[s.instances[0]])
			}
			for n := range s.list {
				s.list[n].Boot = 2
			}
			for _, i := range s.instances {
				i.fleet.Apply(s.list)
				if n := len(i.fleet.Candidates("pool")); n != len(s.list) {
					t.Errorf("%s has %d candidates after all servers were started anew, want %d", i.id, n, len(s.list))
				}
			}
		})
	}
}

// restTime is the time for which servers want no requests.
const restTime = 2500

// Guards against requests to servers that want none from an instance, from that instance alone or from all, and against requests that come
// back all at once. An instance that is cut off obeys alone; one that has just started may ask.
func TestRestingServersGetNoRequests(t *testing.T) {
	for _, instances := range []int{1, 6, 120} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			s := newLimitedServers(t, 5, 16, 0, instances)
			s.run(2000, 60)
			resting := s.busiest(3)
			until := map[*limitedInstance]map[poplarwinch.UpstreamID]clock.Millis{}
			tellUntil := s.clock.Now() + 1000
			notify := func(i *limitedInstance, id poplarwinch.UpstreamID) {
				if until[i] == nil {
					until[i] = map[poplarwinch.UpstreamID]clock.Millis{}
				}
				until[i][id] = s.clock.Now() + restTime
			}
			s.answered = func(i *limitedInstance, id poplarwinch.UpstreamID, _ clock.Millis) fleet.Notice {
				if !slices.Contains(resting, id) || s.clock.Now() > tellUntil {
					return fleet.Notice{}
				}
				notify(i, id)
				return fleet.Notice{Rest: restTime}
			}
			after := map[poplarwinch.UpstreamID]int{}
			back := map[*limitedInstance]map[poplarwinch.UpstreamID]clock.Millis{}
			s.sent = func(i *limitedInstance, id poplarwinch.UpstreamID) {
				switch end := until[i][id]; {
				case end == 0:
				case s.clock.Now() < end:
					t.Errorf("%s sent a request to %s %d ms before the end (cut off: %t)", i.id, id, end-s.clock.Now(), i.cut)
				case back[i] != nil && back[i][id] == 0:
					back[i][id] = s.clock.Now()
					after[id]++
				case back[i] != nil && s.clock.Now() < back[i][id]+firstAnswer:
					t.Errorf("%s sent a second request to %s before the first one was answered", i.id, id)
				}
			}
			s.instances[0].cut = instances > 1
			s.run(1000, 60)
			s.start()
			s.run(200, 60)
			for _, i := range s.instances { // the servers want none from all of them, from the same moment
				back[i] = map[poplarwinch.UpstreamID]clock.Millis{}
				for _, id := range resting {
					server, _ := i.fleet.Server(id)
					notify(i, id)
					i.fleet.Observe(server, fleet.Notice{Rest: restTime}, 0)
				}
			}
			s.run(6000, 120)
			for _, id := range resting {
				if after[id] == 0 {
					t.Errorf("%s gets no requests after the time", id)
				}
			}
			if s.refused > s.served/50 {
				t.Errorf("%d requests refused, %d served", s.refused, s.served)
			}
		})
	}
}
