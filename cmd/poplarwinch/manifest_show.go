package main

import (
	"context"
	"io"
	"net/http"
)

// manifestShowCommand shows the active manifest of an instance.
type manifestShowCommand struct {
	operatorClient
}

func (c *manifestShowCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	body, err := c.request(ctx, http.MethodGet, "/manifest", nil, nil)
	if err != nil {
		return err
	}
	return writeJSON(stdout, body)
}
