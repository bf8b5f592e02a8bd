package configuration

import (
	"sync"

	"github.com/apex/log"
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
