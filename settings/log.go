package settings

import (
	"slices"
	"strings"
)

// levels are the accepted log levels, as apex/log names them.
var levels = []string{"debug", "info", "warn", "error"}

// Log controls the log.
type Log struct {
	// Level is the least level that is written.
	Level string
}

func (l *Log) read(r *reader) {
	const section, key = "log", "level"
	l.Level = "info"
	if value := r.optional(section, key); slices.Contains(levels, value) {
		l.Level = value
	} else if value != "" {
		r.problem(section, key, value, "use one of "+strings.Join(levels, ", "), "unknown level")
	}
}
