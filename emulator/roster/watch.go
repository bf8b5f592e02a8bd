package roster

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/emulator/fault"
)

// watchPoll is the precision with which a watch notices changes.
const watchPoll = 10 * clock.Millis(1)

// event is one element of a watch's reply.
type event struct {
	Type   string `json:"type"`
	Object *slice `json:"object"`
}

// watch writes the changes of the list after a resource version until the requested time is over.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	known, err := strconv.Atoi(r.URL.Query().Get("resourceVersion"))
	if err != nil {
		http.Error(w, "resourceVersion: "+err.Error(), http.StatusBadRequest)
		return
	}
	seconds, _ := strconv.Atoi(r.URL.Query().Get("timeoutSeconds"))
	end := s.clock.Now() + clock.FromDuration(time.Duration(max(1, seconds))*time.Second)
	s.gate.Serve(w, r, func([]byte) fault.Class { return fault.Reads }, func([]byte) fault.Response {
		return fault.Response{Status: http.StatusOK, Header: map[string]string{"Content-Type": "application/json"}}
	})
	control := http.NewResponseController(w)
	_ = control.Flush()
	encoder := json.NewEncoder(w)
	for s.clock.Now() < end {
		if s.clock.Sleep(r.Context(), watchPoll) != nil || s.gate.Closed() {
			return
		}
		if s.gate.OutageActive() {
			continue
		}
		next := s.number()
		if next == known {
			continue
		}
		for _, e := range changes(s.numbered(known), s.numbered(next), strconv.Itoa(next)) {
			if encoder.Encode(e) != nil {
				return
			}
		}
		_ = control.Flush()
		known = next
	}
}

// changes returns the events that lead from one list to another.
func changes(from, to list, version string) []event {
	var events []event
	before := map[string][]byte{}
	for _, x := range from.Items {
		before[x.Metadata.Name], _ = json.Marshal(x)
	}
	for _, x := range to.Items {
		text, _ := json.Marshal(x)
		old, ok := before[x.Metadata.Name]
		delete(before, x.Metadata.Name)
		switch {
		case !ok:
			events = append(events, event{Type: "ADDED", Object: x.at(version)})
		case !bytes.Equal(old, text):
			events = append(events, event{Type: "MODIFIED", Object: x.at(version)})
		}
	}
	for _, x := range from.Items {
		if _, gone := before[x.Metadata.Name]; gone {
			events = append(events, event{Type: "DELETED", Object: x.at(version)})
		}
	}
	return events
}

// at returns a copy of the slice with a resource version.
func (s *slice) at(version string) *slice {
	c := *s
	c.Metadata.ResourceVersion = version
	return &c
}
