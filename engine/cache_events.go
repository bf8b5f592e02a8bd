package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// CacheEvents passes events after the given sequence number to handle until ctx ends or the connection breaks,
// and returns the reason, a *CallError. An unchanged cache sends nothing, so silence does not tell a stalled
// connection from a quiet one; after each quiet period (WithQuietPeriod) it continues on a new connection.
// Sequence numbers start anew with each boot of the engine.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64, handle func(CacheEvent)) error {
	for {
		last, quiet, err := c.cacheEvents(ctx, address, after, handle)
		if !quiet {
			return err
		}
		after = last
	}
}

// cacheEvents reads one connection. It reports the last sequence number and whether the connection ended because
// it was quiet.
func (c *Client) cacheEvents(parent context.Context, address string, after uint64, handle func(CacheEvent)) (last uint64, quiet bool, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	status, sent := 0, false
	fail := func(err error) (uint64, bool, error) {
		return after, false, &CallError{Operation: "cache events", Address: address, Status: status, Sent: sent, Cause: err}
	}
	url := "http://" + address + "/kv/events?after=" + strconv.FormatUint(after, 10)
	response, sent, err := exchange(ctx, c.fresh, http.MethodGet, url, nil, nil)
	if err != nil {
		return fail(err)
	}
	status = response.StatusCode
	if status != http.StatusOK {
		return fail(statusCause(response))
	}
	defer response.Body.Close()
	period := c.config.quietPeriod.Duration()
	timer := time.AfterFunc(period, cancel)
	defer timer.Stop()
	r := newEventReader(response.Body, c.config.maxLine)
	for {
		e, err := r.next()
		if err != nil {
			if ctx.Err() != nil && parent.Err() == nil {
				return after, true, nil
			}
			return fail(err)
		}
		if e.comment {
			continue
		}
		var ce CacheEvent
		if err := json.Unmarshal(e.data, &ce); err != nil {
			return fail(err)
		}
		handle(ce)
		after = ce.Sequence
		timer.Reset(period)
	}
}
