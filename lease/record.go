package lease

import (
	"encoding/json"
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// stateHeld is the state of the lease row.
const stateHeld = "held"

// record is the body of the lease row. The row's version is the fencing token; its attempt id identifies the write.
type record struct {
	Holder poplarwinch.InstanceID `json:"holder"`
	// Expires is the expiry by the holder's wall clock. It is only informational, for operators.
	Expires clock.Millis `json:"expires-ms"`
}

func (l *Lease) row(attempt string, w pendingWrite) (table.Row, error) {
	body, err := json.Marshal(record{Holder: l.holder, Expires: w.start.wall + leaseDuration})
	if err != nil {
		return table.Row{}, fmt.Errorf("encode the lease row: %w", err)
	}
	return table.Row{Key: l.key, Attempt: attempt, State: stateHeld, Version: w.token, Body: body}, nil
}
