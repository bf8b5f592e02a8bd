package instance

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/table"
)

const (
	// crashSuspectsKey is the key of the table's row with the requests and messages that crash engines.
	crashSuspectsKey = "suspects/crashes"
	// suspectsVerifyInterval is the time after which the row is read again while there are suspects, since the table may be restored from an
	// older copy.
	suspectsVerifyInterval = 30 * clock.Second
)

// initSuspectsBackup creates the backup of the suspects in the table.
func (i *Instance) initSuspectsBackup() {
	i.suspectsBackup = quarantine.NewBackup(i.quarantine, i.log)
	i.suspectsBackup.Read, i.suspectsBackup.Write = i.readCrashSuspects, i.writeCrashSuspects
	i.suspectsBackup.Follows, i.suspectsBackup.VerifyInterval = i.readsManifest, suspectsVerifyInterval
}

// readCrashSuspects reads the row of suspects. The clocks of the instances differ by less than it matters for a block.
func (i *Instance) readCrashSuspects(ctx context.Context) (quarantine.BackupRow, error) {
	row, exists, err := i.table.Get(ctx, crashSuspectsKey)
	if err != nil || !exists {
		return quarantine.BackupRow{Now: i.clock.Now()}, err
	}
	return quarantine.BackupRow{Value: row.Body, Revision: quarantine.Revision(row.Attempt), Now: i.clock.Now()}, nil
}

// writeCrashSuspects replaces the row of suspects.
func (i *Instance) writeCrashSuspects(ctx context.Context, value []byte, replaces quarantine.Revision) error {
	condition := table.Absent()
	if replaces != "" {
		condition = table.AttemptIs(string(replaces))
	}
	err := i.table.Put(ctx, table.Row{Key: crashSuspectsKey, Version: 1, Attempt: rand.Text(), Body: value}, condition)
	if errors.Is(err, table.ErrConditionFailed) {
		return quarantine.ErrRevisionChanged
	}
	return err
}
