// Package invariant reports violations of invariants at run time.
package invariant

import "github.com/apex/log"

// Report receives the name of a violated invariant and the state that was observed.
type Report func(name, detail string)

// Log logs a violated invariant. It is a Report.
func Log(name, detail string) {
	log.WithFields(log.Fields{"invariant": name, "detail": detail}).Error("invariant broken")
}
