package configuration

import (
	"sync"

	"github.com/apex/log"
)

// maxLoggedAlarms is the number of logged alarms that are remembered. Beyond it the set is cleared to bound its memory, and
// alarms are logged again.
const maxLoggedAlarms = 256

// alarms counts every occurrence of an alarm but logs each distinct one only once, because polling and gossip can raise
// the same alarm every second.
type alarms struct {
	logger log.Interface
	count  func(Alarm)
	mutex  sync.Mutex
	logged map[string]bool
}

// raise counts an alarm and logs it unless an equal one was logged before.
func (a *alarms) raise(alarm Alarm, record Record, message string, err error) {
	a.count(alarm)
	key := string(alarm) + " " + record.Digest + " " + message
	if err != nil {
		key += err.Error()
	}
	a.mutex.Lock()
	alreadyLogged := a.logged[key]
	if len(a.logged) >= maxLoggedAlarms {
		clear(a.logged)
	}
	a.logged[key] = true
	a.mutex.Unlock()
	if alreadyLogged {
		return
	}
	fields := log.Fields{"alarm": string(alarm), "version": uint64(record.Version), "digest": record.Digest}
	if err != nil {
		fields["error"] = err.Error()
	}
	a.logger.WithFields(fields).Error(message)
}
