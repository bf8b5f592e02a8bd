package configuration

import (
	"sync"

	"github.com/apex/log"
)

// Alarm names a condition that needs an operator.
type Alarm string

const (
	// AlarmConflictingDigest means that one version exists with two digests.
	AlarmConflictingDigest Alarm = "conflicting-digest"
	// AlarmInvalidManifest means that an accepted manifest can't be used; the previous one stays active.
	AlarmInvalidManifest Alarm = "invalid-manifest"
	// AlarmStaleTable means that the table has an older version than this instance, as after a restore.
	AlarmStaleTable Alarm = "stale-table"
)

// maxReported bounds the memory for alarms that were already logged.
const maxReported = 256

// alarms counts every occurrence and logs each distinct one once, because polls and gossip repeat them each second.
type alarms struct {
	logger   log.Interface
	count    func(Alarm)
	mutex    sync.Mutex
	reported map[string]bool
}

func (a *alarms) raise(alarm Alarm, record Record, message string, err error) {
	a.count(alarm)
	key := string(alarm) + " " + record.Digest + " " + message
	if err != nil {
		key += err.Error()
	}
	a.mutex.Lock()
	known := a.reported[key]
	if len(a.reported) >= maxReported {
		clear(a.reported)
	}
	a.reported[key] = true
	a.mutex.Unlock()
	if known {
		return
	}
	fields := log.Fields{"alarm": string(alarm), "version": uint64(record.Version), "digest": record.Digest}
	if err != nil {
		fields["error"] = err.Error()
	}
	a.logger.WithFields(fields).Error(message)
}
