package settings

import (
	"slices"
	"strings"
)

// logLevels are the accepted log levels, with the names that apex/log gives them.
var logLevels = []string{"debug", "info", "warn", "error"}

// Log configures the log.
type Log struct {
	// Level is the lowest level that is logged.
	Level string
}

func (l *Log) read(r *reader) {
	const section, key = "log", "level"
	l.Level = "info"
	if value := r.optional(section, key); slices.Contains(logLevels, value) {
		l.Level = value
	} else if value != "" {
		r.addProblem(section, key, value, "use one of "+strings.Join(logLevels, ", "), "unknown level")
	}
}
