package peer

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// warnings passes the text lines of an HTTP server's error log on as log entries.
type warnings struct{ log log.Interface }

func (w warnings) Write(line []byte) (int, error) {
	w.log.WithField("server", "peer").WithField("error", string(bytes.TrimSpace(line))).Warn("connection failed")
	return len(line), nil
}

func newErrorLog(l log.Interface) *stdlog.Logger { return stdlog.New(warnings{l}, "", 0) }
