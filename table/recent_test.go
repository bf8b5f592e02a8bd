package table_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/table"
)

// countingTable is a table that counts reads and keeps rows for a judge that compares bodies.
type countingTable struct {
	mutex sync.Mutex
	rows  map[string]table.Row
	reads int
}

func (c *countingTable) get(_ context.Context, key string) (table.Row, bool, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reads++
	row, ok := c.rows[key]
	return row, ok, nil
}

func (c *countingTable) put(_ context.Context, row table.Row, condition table.Condition) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if current, ok := c.rows[row.Key]; !condition.Holds(current, ok) {
		return table.ErrConditionFailed
	}
	c.rows[row.Key] = row
	return nil
}

func judgeAbsence(_ table.Row, exists bool) (table.Verdict, table.Condition) {
	if !exists {
		return table.Lost, table.Absent()
	}
	return table.Present, table.Condition{}
}

// Guards against a check of recent rows that costs more than one read for each row and one a second, and that never ends.
func TestCostOfRecentRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &countingTable{rows: map[string]table.Row{}}
		recent := table.NewRecent(clock.System(), c.get, c.put)
		for n := range 100 {
			row := table.Row{Key: fmt.Sprint("row-", n), Body: []byte("{}")}
			c.rows[row.Key] = row
			recent.Add(row, judgeAbsence)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- recent.Run(ctx) }()
		time.Sleep(90 * time.Second)
		cancel()
		<-ended
		if c.reads < 100 || c.reads > 100+62 {
			t.Errorf("%d reads in 90 s for 100 rows, want each once and one of them each second of the first minute", c.reads)
		}
	})
}

// Guards against an instance whose memory grows with its calls while the table is away.
func TestRecentRowsAreBounded(t *testing.T) {
	c := &countingTable{rows: map[string]table.Row{}}
	recent := table.NewRecent(clock.System(), c.get, c.put)
	const rows, rowBytes = 400, 64 << 10
	for n := range rows {
		recent.Add(table.Row{Key: fmt.Sprint("row-", n), Body: make([]byte, rowBytes)}, judgeAbsence)
	}
	for n := range rows {
		if err := recent.Restore(t.Context(), fmt.Sprint("row-", n)); err != nil {
			t.Fatal(err)
		}
	}
	if remembered := len(c.rows) * rowBytes; remembered > 8<<20 || c.rows[fmt.Sprint("row-", rows-1)].Body == nil {
		t.Errorf("%d bytes are remembered, want at most 8 MiB with the newest rows", remembered)
	}
}
