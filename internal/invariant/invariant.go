// Package invariant reports broken invariants of the running program.
package invariant

import "github.com/apex/log"

// Report receives the name of a broken invariant and what was observed.
type Report func(name, detail string)

// Log writes a broken invariant to the log.
func Log(name, detail string) {
	log.WithFields(log.Fields{"invariant": name, "detail": detail}).Error("invariant broken")
}
