package memory

import (
	"context"

	"github.com/poplarwinch/poplarwinch/emulator/history"
	"github.com/poplarwinch/poplarwinch/objects"
	"github.com/poplarwinch/poplarwinch/table"
)

// Client has the methods of table.Table and objects.Objects and returns their errors.
type Client struct {
	platform   *Platform
	checkpoint func()
}

// Get returns the current row.
func (c *Client) Get(ctx context.Context, key string) (table.Row, bool, error) {
	var row table.Row
	var exists bool
	if _, err := c.call(ctx, func() {
		c.platform.rows.Do(func(v *history.View[table.Row]) { row, exists = v.Get(key) })
	}); err != nil {
		return table.Row{}, false, &table.UnavailableError{Key: key, Cause: err}
	}
	return row, exists, nil
}

// Put writes a row if condition holds for the current one.
func (c *Client) Put(ctx context.Context, row table.Row, condition table.Condition) error {
	var failed bool
	rejected, err := c.call(ctx, func() {
		c.platform.rows.Do(func(v *history.View[table.Row]) {
			current, exists := v.Get(row.Key)
			if failed = !condition.Holds(current, exists); !failed {
				v.Put(row.Key, row)
			}
		})
	})
	switch {
	case rejected:
		return &table.UnavailableError{Key: row.Key, Cause: err}
	case err != nil:
		return &table.UncertainError{Key: row.Key, Cause: err}
	case failed:
		return table.ErrConditionFailed
	}
	return nil
}

// GetObject returns an object, or objects.ErrNotFound.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var data []byte
	var exists bool
	if _, err := c.call(ctx, func() {
		c.platform.objects.Do(func(v *history.View[[]byte]) { data, exists = v.Get(key) })
	}); err != nil {
		return nil, &objects.UnavailableError{Key: key, Cause: err}
	}
	if !exists {
		return nil, objects.ErrNotFound
	}
	return data, nil
}

// PutObject writes an object, or returns objects.ErrExists if it exists.
func (c *Client) PutObject(ctx context.Context, key string, data []byte) error {
	var existed bool
	rejected, err := c.call(ctx, func() {
		c.platform.objects.Do(func(v *history.View[[]byte]) {
			if _, existed = v.Get(key); !existed {
				v.Put(key, data)
			}
		})
	})
	switch {
	case rejected:
		return &objects.UnavailableError{Key: key, Cause: err}
	case err != nil:
		return &objects.UncertainError{Key: key, Cause: err}
	case existed:
		return objects.ErrExists
	}
	return nil
}

func (c *Client) call(ctx context.Context, apply func()) (rejected bool, err error) {
	c.checkpoint()
	defer c.checkpoint()
	return c.platform.call(ctx, apply)
}
