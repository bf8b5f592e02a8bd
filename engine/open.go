package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/poplarwinch/poplarwinch/internal/response"
)

// Open sends a prompt and returns its stream once the engine has accepted it. The connection is closed when ctx ends,
// and the deadline of ctx is sent to the engine. The error is a *RefusedError (the prompt did not run) or a *StreamError.
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

// Resume continues a stream after event number after, on a new connection. If the engine does not know the stream, the
// error is a *StreamError with ReasonUnknownStream.
func (c *Client) Resume(ctx context.Context, address string, id StreamID, after int) (*Stream, error) {
	header := http.Header{}
	header.Set("Accept", "text/event-stream")
	header.Set("Last-Event-ID", strconv.Itoa(after))
	return c.stream(ctx, c.fresh, http.MethodGet, address, streamPath(id), header, nil, id, after)
}

// Cancel ends a stream and frees its memory, on a new connection. It succeeds for an unknown stream, too.
func (c *Client) Cancel(ctx context.Context, address string, id StreamID) error {
	return c.call(ctx, operation{name: "cancel", method: http.MethodDelete, path: streamPath(id), fresh: true}, address)
}

// CancelUnread is like Cancel but returns ErrBeingRead if the stream has a reader.
func (c *Client) CancelUnread(ctx context.Context, address string, id StreamID) error {
	return c.call(ctx, operation{name: "cancel", method: http.MethodDelete, path: streamPath(id), fresh: true, ifUnread: true}, address)
}

func streamPath(id StreamID) string { return "/v1/streams/" + url.PathEscape(string(id)) }

// stream opens or resumes a stream with one request.
func (c *Client) stream(ctx context.Context, t *response.Transport, method, address, path string, header http.Header, data []byte, id StreamID, after int) (*Stream, error) {
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
		return nil, c.rejectionError(address, id, response)
	}
	if got := response.Header.Get("Stream-Id"); got != string(id) {
		response.Body.Close()
		cancel()
		return nil, &StreamError{Reason: ReasonForeign, Address: address, Stream: id, Sent: true, Status: response.StatusCode, Detail: "Stream-Id " + strconv.Quote(got)}
	}
	return newStream(parent, ctx, cancel, c, address, id, after, response), nil
}

// rejectionError returns the error for a response with a status other than 200.
func (c *Client) rejectionError(address string, id StreamID, r *http.Response) error {
	if isRefusal(r) {
		return &RefusedError{Address: address, Status: r.StatusCode, Message: readMessage(r)}
	}
	reason := ReasonRejected
	switch {
	case r.StatusCode == http.StatusNotFound && r.Request.Method == http.MethodGet:
		reason = ReasonUnknownStream
	case r.StatusCode == http.StatusConflict && r.Request.Method == http.MethodPost:
		reason = ReasonDuplicateStream
	}
	return &StreamError{Reason: reason, Address: address, Stream: id, Sent: true, Status: r.StatusCode, Detail: readMessage(r)}
}
