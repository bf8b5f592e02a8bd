package main

import (
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

// Guards against a check of evacuations that doesn't see a request in the evacuated domain, or sees one where it is allowed.
func TestCheckOfEvacuations(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	arrival := func(seconds float64, zone string) emulator.Arrival {
		return emulator.Arrival{Server: "pool-9", Zone: zone, At: at(seconds)}
	}
	storeEvent := func(from, until float64) event { return event{kind: eventStore, at: at(from), until: at(until)} }
	for name, c := range map[string]struct {
		arrivals []emulator.Arrival
		events   []event
		contacts []emulator.Contact
		started  float64
		found    bool
	}{
		"none":                            {},
		"within the bound":                {arrivals: []emulator.Arrival{arrival(24.9, "north")}},
		"after the bound":                 {arrivals: []emulator.Arrival{arrival(25.1, "north")}, found: true},
		"at the end":                      {arrivals: []emulator.Arrival{arrival(39.9, "north")}, found: true},
		"after the end":                   {arrivals: []emulator.Arrival{arrival(40.1, "north")}},
		"in another domain":               {arrivals: []emulator.Arrival{arrival(30, "south")}},
		"turned away":                     {arrivals: []emulator.Arrival{{Server: "pool-9", Zone: "north", At: at(30), Misdirected: true}}},
		"probe after the bound":           {contacts: []emulator.Contact{{Kind: emulator.ContactProbe, Zone: "north", At: at(25.1)}}, found: true},
		"probe within it":                 {contacts: []emulator.Contact{{Kind: emulator.ContactProbe, Zone: "north", At: at(24.9)}}},
		"reservation after the bound":     {contacts: []emulator.Contact{{Kind: emulator.ContactReservation, Zone: "north", At: at(25.1)}}, found: true},
		"in a second evacuation":          {arrivals: []emulator.Arrival{arrival(56, "south")}, found: true},
		"with an unstable store":          {arrivals: []emulator.Arrival{arrival(30.9, "north")}, events: []event{storeEvent(21, 22)}},
		"late even with an unstable one":  {arrivals: []emulator.Arrival{arrival(31.1, "north")}, events: []event{storeEvent(21, 22)}, found: true},
		"with a store disturbed later":    {arrivals: []emulator.Arrival{arrival(30.9, "north")}, events: []event{storeEvent(26, 30)}, found: true},
		"with a killed instance":          {arrivals: []emulator.Arrival{arrival(30, "north")}, events: []event{{kind: eventInstance, name: "one", at: at(19), until: at(30)}}, found: true},
		"of an instance without its rows": {arrivals: []emulator.Arrival{arrival(36, "north")}, events: []event{storeEvent(33, 34)}, started: 35},
		"long after such a start":         {arrivals: []emulator.Arrival{arrival(38.5, "north")}, events: []event{storeEvent(33, 34)}, started: 35, found: true},
	} {
		t.Run(name, func(t *testing.T) {
			o, e := planted()
			e.evacuations = []evacuation{{zone: "north", from: at(20), until: at(40)}, {zone: "south", from: at(50)}}
			e.arrivals = append(e.arrivals, c.arrivals...)
			e.events = append(e.events, c.events...)
			e.contacts = c.contacts
			if c.started > 0 {
				e.starts["two"] = []time.Time{at(c.started)}
			}
			list := check(o, e)
			if found := len(list) == 1 && list[0].rule == "evacuated-domain"; found != c.found || !found && len(list) > 0 {
				t.Errorf("got %v, want a violation: %v", list, c.found)
			}
		})
	}
}
