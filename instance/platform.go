package instance

import (
	"context"
	"errors"

	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/objects"
	"github.com/poplarwinch/poplarwinch/table"
)

// configurationTable adapts the table client to the interface of the configuration store.
func configurationTable(t *table.Table) configuration.Table {
	return configuration.Table{
		Get: func(ctx context.Context, key string) (configuration.Row, bool, error) {
			row, found, err := t.Get(ctx, key)
			return configuration.Row{Key: row.Key, Body: row.Body, Version: row.Version, Attempt: row.Attempt}, found, err
		},
		Put: func(ctx context.Context, row configuration.Row, c configuration.Condition) error {
			condition := table.Condition{HasVersion: true, Version: c.Version, Attempt: c.Attempt}
			if c.Absent {
				condition = table.Absent()
			}
			err := t.Put(ctx, table.Row{Key: row.Key, Body: row.Body, Version: row.Version, Attempt: row.Attempt}, condition)
			var unavailable *table.UnavailableError
			switch {
			case errors.Is(err, table.ErrConditionFailed):
				return errors.Join(configuration.ErrConditionFailed, err)
			case errors.As(err, &unavailable):
				return errors.Join(configuration.ErrNotWritten, err)
			}
			return err
		},
	}
}

// configurationObjects adapts the object store client to the interface of the configuration store.
func configurationObjects(o *objects.Objects) configuration.Objects {
	return configuration.Objects{
		Get: func(ctx context.Context, key string) ([]byte, error) {
			data, err := o.Get(ctx, key)
			if errors.Is(err, objects.ErrNotFound) {
				return nil, errors.Join(configuration.ErrNotFound, err)
			}
			return data, err
		},
		PutNew: func(ctx context.Context, key string, data []byte) error {
			err := o.PutNew(ctx, key, data)
			if errors.Is(err, objects.ErrExists) {
				return errors.Join(configuration.ErrExists, err)
			}
			return err
		},
	}
}
