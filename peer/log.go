package peer

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// errorLogWriter writes each line of an HTTP server's error log as a warning.
type errorLogWriter struct{ log log.Interface }

func (w errorLogWriter) Write(line []byte) (int, error) {
	w.log.WithField("server", "peer").WithField("error", string(bytes.TrimSpace(line))).Warn("connection failed")
	return len(line), nil
}

func newErrorLog(l log.Interface) *stdlog.Logger { return stdlog.New(errorLogWriter{l}, "", 0) }
