package operator

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// errorLogWriter writes the lines of an http.Server error log as log entries.
type errorLogWriter struct{ log log.Interface }

func (w errorLogWriter) Write(line []byte) (int, error) {
	w.log.WithField("server", "operator").WithField("error", string(bytes.TrimSpace(line))).Warn("connection failed")
	return len(line), nil
}

func newErrorLog(l log.Interface) *stdlog.Logger { return stdlog.New(errorLogWriter{l}, "", 0) }
