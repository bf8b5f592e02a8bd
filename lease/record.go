package lease

import (
	"encoding/json"
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

const stateHeld = "held"

// record is the body of the row. The row's version is the fencing token and its attempt id identifies the write.
type record struct {
	Holder poplarwinch.InstanceID `json:"holder"`
	// Expires informs operators; it follows the holder's wall clock.
	Expires clock.Millis `json:"expires-ms"`
}

func (l *Lease) row(attempt string, w written) (table.Row, error) {
	body, err := json.Marshal(record{Holder: l.holder, Expires: w.start.wall + duration})
	if err != nil {
		return table.Row{}, fmt.Errorf("lease row: %w", err)
	}
	return table.Row{Key: l.key, Attempt: attempt, State: stateHeld, Version: w.token, Body: body}, nil
}
