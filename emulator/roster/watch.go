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

// watchPollInterval is the interval at which a watch checks for changes.
const watchPollInterval = 10 * clock.Millis(1)

// event is a watch event.
type event struct {
	Type   string         `json:"type"`
	Object *endpointSlice `json:"object"`
}

// watch sends the changes of the list after the requested resource version until the requested timeout or a restore. It
// answers 410 if it doesn't have the version.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	knownVersion, err := strconv.Atoi(r.URL.Query().Get("resourceVersion"))
	if err != nil {
		http.Error(w, "resourceVersion: "+err.Error(), http.StatusBadRequest)
		return
	}
	seconds, _ := strconv.Atoi(r.URL.Query().Get("timeoutSeconds"))
	end := s.clock.Now() + clock.FromDuration(time.Duration(max(1, seconds))*time.Second)
	restores, known := s.restoreCount(knownVersion)
	s.gate.Serve(w, r, func([]byte) fault.Class { return fault.Reads }, func([]byte) fault.Response {
		if !known {
			return fault.Response{Status: http.StatusGone}
		}
		return fault.Response{Status: http.StatusOK, Header: map[string]string{"Content-Type": "application/json"}}
	})
	if !known {
		return
	}
	control := http.NewResponseController(w)
	_ = control.Flush()
	encoder := json.NewEncoder(w)
	for s.clock.Now() < end {
		if s.clock.Sleep(r.Context(), watchPollInterval) != nil || s.gate.Closed() {
			return
		}
		if s.gate.OutageActive() {
			continue
		}
		if now, _ := s.restoreCount(knownVersion); now != restores {
			return
		}
		nextVersion := s.resourceVersion()
		if nextVersion == knownVersion {
			continue
		}
		for _, e := range watchEvents(s.listAt(knownVersion), s.listAt(nextVersion), strconv.Itoa(nextVersion)) {
			if encoder.Encode(e) != nil {
				return
			}
		}
		_ = control.Flush()
		knownVersion = nextVersion
	}
}

// watchEvents returns the watch events for a change from one list to another.
func watchEvents(from, to endpointSliceList, version string) []event {
	var events []event
	previousJSON := map[string][]byte{}
	for _, x := range from.Items {
		previousJSON[x.Metadata.Name], _ = json.Marshal(x)
	}
	for _, x := range to.Items {
		newJSON, _ := json.Marshal(x)
		oldJSON, ok := previousJSON[x.Metadata.Name]
		delete(previousJSON, x.Metadata.Name)
		switch {
		case !ok:
			events = append(events, event{Type: "ADDED", Object: x.withVersion(version)})
		case !bytes.Equal(oldJSON, newJSON):
			events = append(events, event{Type: "MODIFIED", Object: x.withVersion(version)})
		}
	}
	for _, x := range from.Items {
		if _, gone := previousJSON[x.Metadata.Name]; gone {
			events = append(events, event{Type: "DELETED", Object: x.withVersion(version)})
		}
	}
	return events
}

// withVersion returns a copy of the slice with a resource version.
func (s *endpointSlice) withVersion(version string) *endpointSlice {
	c := *s
	c.Metadata.ResourceVersion = version
	return &c
}
