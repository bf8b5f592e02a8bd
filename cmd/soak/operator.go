package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch/platform/emulator"
)

const (
	// copyInterval is the time between two copies of the store, and copyCount the number of copies that are kept.
	copyInterval = 500 * time.Millisecond
	copyCount    = 20
	// statusInterval is the time between two writes of rows that instances don't read; like all writes, they raise the store's counter.
	statusInterval = 50 * time.Millisecond
	statusTable    = "status"
	// minRewrite and maxRewrite bound the time after a restoration in which lost rows are written again.
	minRewrite = 500 * time.Millisecond
	maxRewrite = 2 * time.Second
	// markerCount is the number of markers in a configuration: its own and those before.
	markerCount = 4
	// minConfigurationAge and maxConfigurationAge bound the time between two configurations.
	minConfigurationAge = 500 * time.Millisecond
	maxConfigurationAge = 3 * time.Second
)

// rowID identifies a row of the store.
type rowID struct{ table, key string }

// configurationRow is the row with the configuration.
var configurationRow = rowID{emulator.OperatorTable, emulator.ConfigurationKey}

// storeCopy is a copy of the store, and the number of configurations that were written before it.
type storeCopy struct {
	at             time.Time
	snapshot       emulator.Snapshot
	configurations int
}

// operator writes the store's rows and writes them again after the store has lost them.
type operator struct {
	rowsMutex sync.Mutex
	// written has what was last written to each row; empty for a row that was removed.
	written map[rowID]string
	copies  []storeCopy
	// versions are those of all configurations, in the order in which they were written.
	versions []int
	// present is the number of configurations up to the one that the store has.
	present int
	history []configurationEvent
	// calls has the number of calls to the store at the time of each copy.
	calls []callCount
}

// callCount is the number of calls to the store up to a time.
type callCount struct {
	at    time.Time
	calls int
}

// configurationEvent is a write of a configuration, or its loss.
type configurationEvent struct {
	at time.Time
	// newest is the number of configurations that the store then has or had.
	newest int
	lost   bool
}

// write writes a row of a server.
func (d *deployment) write(table, key, value string) {
	d.rowsMutex.Lock()
	defer d.rowsMutex.Unlock()
	d.put(rowID{table, key}, value)
}

// put writes a row. The caller holds the lock.
func (d *deployment) put(id rowID, value string) {
	d.written[id] = value
	d.store.Put(id.table, id.key, value)
}

// configure writes the next configuration, whose version is larger by the step.
func (d *deployment) configure(step int) {
	d.rowsMutex.Lock()
	version := step
	if n := len(d.versions); n > 0 {
		version += d.versions[n-1]
	}
	d.versions = append(d.versions, version)
	d.recordConfiguration()
	d.put(configurationRow, emulator.Configuration(version, markersOf(d.versions)...))
	d.rowsMutex.Unlock()
	d.log(eventOther, fmt.Sprintf("configuration %d", version))
}

// recordConfiguration records that the newest configuration is written. The caller holds the lock.
func (d *deployment) recordConfiguration() {
	d.present = len(d.versions)
	d.history = append(d.history, configurationEvent{at: time.Now(), newest: d.present})
}

// markersOf returns the markers of the last one of the configurations.
func markersOf(versions []int) []int { return versions[max(0, len(versions)-markerCount):] }

// configurations returns the versions that were written so far.
func (d *deployment) configurations() []int {
	d.rowsMutex.Lock()
	defer d.rowsMutex.Unlock()
	return append([]int{}, d.versions...)
}

// runOperator changes the configuration now and then until ctx ends.
func (d *deployment) runOperator(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-time.After(minConfigurationAge + time.Duration(random.Int64N(int64(maxConfigurationAge-minConfigurationAge)))):
			d.configure(1 + random.IntN(3))
		case <-ctx.Done():
		}
	}
}

// runCopies copies the store until ctx ends.
func (d *deployment) runCopies(ctx context.Context) {
	for ctx.Err() == nil {
		d.rowsMutex.Lock()
		d.copies = append(d.copies, storeCopy{at: time.Now(), snapshot: d.store.Snapshot(), configurations: d.present})
		d.copies = d.copies[max(0, len(d.copies)-copyCount):]
		d.calls = append(d.calls, callCount{time.Now(), d.store.Calls().Total()})
		d.rowsMutex.Unlock()
		select {
		case <-time.After(copyInterval):
		case <-ctx.Done():
		}
	}
}

// runStatus writes rows that instances don't read, until ctx ends.
func (d *deployment) runStatus(ctx context.Context) {
	for ctx.Err() == nil {
		d.store.Put(statusTable, "status", "written")
		select {
		case <-time.After(statusInterval):
		case <-ctx.Done():
		}
	}
}

// restore brings the store back from the newest copy that is old enough, and has the lost rows written again at random times.
func (d *deployment) restore(age time.Duration, random *rand.Rand) {
	d.rowsMutex.Lock()
	defer d.rowsMutex.Unlock()
	chosen := d.copies[0]
	for _, c := range d.copies {
		if time.Since(c.at) >= age {
			chosen = c
		}
	}
	d.store.Restore(chosen.snapshot)
	d.present = chosen.configurations
	d.history = append(d.history, configurationEvent{at: time.Now(), newest: d.present, lost: true})
	ids := slices.SortedFunc(maps.Keys(d.written), func(a, b rowID) int { return strings.Compare(a.table+a.key, b.table+b.key) })
	for _, id := range ids {
		time.AfterFunc(minRewrite+time.Duration(random.Int64N(int64(maxRewrite-minRewrite))), func() { d.rewrite(id) })
	}
}

// rewrite writes a row again, unless the store has it.
func (d *deployment) rewrite(id rowID) {
	d.rowsMutex.Lock()
	defer d.rowsMutex.Unlock()
	value := d.written[id]
	if d.store.Values(id.table)[id.key] == value {
		return
	}
	if id == configurationRow {
		d.recordConfiguration()
	}
	d.store.Put(id.table, id.key, value)
}

// required returns the number of configurations that the store had accepted for good some time before.
func required(history []configurationEvent, at time.Time) int {
	n := 0
	for _, v := range history {
		switch {
		case v.lost && v.at.Before(at):
			n = min(n, v.newest)
		case !v.lost && v.at.Add(applyTime).Before(at):
			n = max(n, v.newest)
		}
	}
	return n
}

// written returns the number of configurations that were written before a time.
func written(history []configurationEvent, at time.Time) int {
	n := 0
	for _, v := range history {
		if v.at.Before(at) && !v.lost {
			n = max(n, v.newest)
		}
	}
	return n
}
