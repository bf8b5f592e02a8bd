package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
)

// Open sends a prompt and returns its stream once the engine has accepted it. The end of ctx ends the stream's
// connection, and its deadline is sent to the engine. The error is a *RefusedError (not run) or a *StreamError.
func (c *Client) Open(ctx context.Context, address string, call Call) (*Stream, error) {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set("Request-Id", string(call.ID))
	header.Set("Priority", strconv.Itoa(call.Priority))
	if call.Reservation != "" {
		header.Set("Reservation", string(call.Reservation))
	}
	if len(call.Group) > 0 {
		header.Set("Group", formatGroup(call.Group))
	}
	return c.stream(ctx, c.pooled, http.MethodPost, address, call.Path, header, call.Body, call.ID, 0)
}

// Resume continues a stream after event number after, on a new connection. An engine that does not know the
// stream yields a *StreamError with ReasonUnknownStream.
func (c *Client) Resume(ctx context.Context, address string, id StreamID, after int) (*Stream, error) {
	header := http.Header{}
	header.Set("Accept", "text/event-stream")
	header.Set("Last-Event-ID", strconv.Itoa(after))
	return c.stream(ctx, c.fresh, http.MethodGet, address, streamPath(id), header, nil, id, after)
}

// Cancel ends a stream and frees its memory, on a new connection. It succeeds for unknown streams as well.
func (c *Client) Cancel(ctx context.Context, address string, id StreamID) error {
	return c.call(ctx, operation{name: "cancel", method: http.MethodDelete, path: streamPath(id), fresh: true}, address)
}

// CancelUnread ends a stream unless somebody reads it, in which case it returns ErrBeingRead.
func (c *Client) CancelUnread(ctx context.Context, address string, id StreamID) error {
	return c.call(ctx, operation{name: "cancel", method: http.MethodDelete, path: streamPath(id), fresh: true, unread: true}, address)
}

func streamPath(id StreamID) string { return "/v1/streams/" + url.PathEscape(string(id)) }

func (c *Client) stream(ctx context.Context, t *http.Transport, method, address, path string, header http.Header, data []byte, id StreamID, after int) (*Stream, error) {
	parent := ctx
	ctx, cancel := context.WithCancel(parent)
	response, sent, err := exchange(ctx, t, method, "http://"+address+path, header, data)
	if err != nil {
		reason := ReasonUnreachable
		if ctx.Err() != nil {
			reason, err = ReasonCanceled, context.Cause(ctx)
		}
		cancel()
		c.pooled.CloseIdleConnections()
		return nil, &StreamError{Reason: reason, Address: address, Stream: id, Sent: sent, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		defer cancel()
		return nil, c.rejection(address, id, response)
	}
	if got := response.Header.Get("Stream-Id"); got != string(id) {
		response.Body.Close()
		cancel()
		return nil, &StreamError{Reason: ReasonForeign, Address: address, Stream: id, Sent: true, Status: response.StatusCode, Detail: "Stream-Id " + strconv.Quote(got)}
	}
	return newStream(parent, ctx, cancel, c, address, id, after, response), nil
}

func (c *Client) rejection(address string, id StreamID, r *http.Response) error {
	if refused(r) {
		return &RefusedError{Address: address, Status: r.StatusCode, Message: message(r)}
	}
	reason := ReasonRejected
	switch {
	case r.StatusCode == http.StatusNotFound && r.Request.Method == http.MethodGet:
		reason = ReasonUnknownStream
	case r.StatusCode == http.StatusConflict && r.Request.Method == http.MethodPost:
		reason = ReasonDuplicateStream
	}
	return &StreamError{Reason: reason, Address: address, Stream: id, Sent: true, Status: r.StatusCode, Detail: message(r)}
}
