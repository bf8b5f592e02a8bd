package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// operation describes a call other than a stream.
type operation struct {
	name, method, path string
	// send is the request body: a []byte as it is, anything else encoded as JSON, nil for none.
	send any
	// receive is a pointer to the decoded JSON response, or a *[]byte for the body as it is; nil discards the body.
	receive any
	// ifUnread makes the call conditional on the stream having no reader.
	ifUnread bool
	// fresh makes the call on a new connection.
	fresh bool
}

// call performs o within the call timeout. The error is a *RefusedError or a *CallError.
func (c *Client) call(ctx context.Context, o operation, address string) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.callTimeout.Duration())
	defer cancel()
	data, header, err := o.encode()
	if err != nil {
		return &CallError{Operation: o.name, Address: address, Cause: err}
	}
	if o.ifUnread {
		header.Set("If-Unread", "true")
	}
	t := c.pooled
	if o.fresh {
		t = c.fresh
	}
	response, sent, err := exchange(ctx, t, o.method, "http://"+address+o.path, header, data)
	if err != nil {
		c.pooled.CloseIdleConnections()
		return &CallError{Operation: o.name, Address: address, Sent: sent, Cause: err}
	}
	if isRefusal(response) {
		return &RefusedError{Address: address, Status: response.StatusCode, Message: readMessage(response)}
	}
	if response.StatusCode/100 != 2 {
		return &CallError{Operation: o.name, Address: address, Status: response.StatusCode, Sent: true, Cause: statusError(response)}
	}
	defer response.Body.Close()
	if err := o.decode(response.Body, c.config.maxBodyBytes); err != nil {
		return &CallError{Operation: o.name, Address: address, Status: response.StatusCode, Sent: true, Cause: err}
	}
	return nil
}

// statusError returns the error for an HTTP status, with the engine's message.
func statusError(r *http.Response) error {
	text := readMessage(r)
	switch r.StatusCode {
	case http.StatusPreconditionFailed:
		return fmt.Errorf("%w: %s", ErrStaleOrder, text)
	case http.StatusNotFound:
		return fmt.Errorf("%w: %s", ErrUnknown, text)
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrBeingRead, text)
	}
	return errors.New(text)
}

func (o operation) encode() ([]byte, http.Header, error) {
	header := http.Header{}
	switch v := o.send.(type) {
	case nil:
		return nil, header, nil
	case []byte:
		header.Set("Content-Type", "application/octet-stream")
		return v, header, nil
	default:
		header.Set("Content-Type", "application/json")
		data, err := json.Marshal(v)
		return data, header, err
	}
}

func (o operation) decode(r io.Reader, limit int64) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("response body exceeds the limit of %d bytes", limit)
	}
	switch v := o.receive.(type) {
	case nil:
		return nil
	case *[]byte:
		*v = data
		return nil
	default:
		if err := json.Unmarshal(data, v); err != nil {
			return fmt.Errorf("decode response body: %w", err)
		}
		return nil
	}
}
