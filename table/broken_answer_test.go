package table_test

import (
	"context"
	"testing"

	"github.com/poplarwinch/poplarwinch/emulator/raw"
	"github.com/poplarwinch/poplarwinch/table"
)

// Guards against rows that are taken for missing, or for written, by a malformed answer or a part of one.
func TestBrokenAnswers(t *testing.T) {
	raw.ServeEach(raw.Broken(), "Content-Type: application/x-amz-json-1.0\r\n", "{}", func(broken *raw.Answer, address string) {
		client := table.New(table.WithEndpoint("http://" + address))
		if row, _, err := client.Get(context.Background(), "key"); err == nil {
			t.Errorf("%s: read %+v", broken.Name, row)
		}
		if err := client.Put(context.Background(), table.Row{Key: "key"}, table.Condition{}); err == nil {
			t.Errorf("%s: the row counts as written", broken.Name)
		}
	})
}
