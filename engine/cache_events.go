package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// CacheEvents calls handle with each event after the given sequence number until ctx ends or the connection breaks, and
// returns the cause as a *CallError. An engine sends nothing while its cache is unchanged, so that a stalled connection
// looks the same as an idle one; after each quiet period (WithQuietPeriod) it continues on a new connection. Sequence
// numbers start again with each boot of the engine.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64, handle func(CacheEvent)) error {
	for {
		last, quiet, err := c.readCacheEvents(ctx, address, after, handle)
		if !quiet {
			return err
		}
		after = last
	}
}

// readCacheEvents reads events from one connection. It returns the last sequence number and whether it closed the
// connection after a quiet period.
func (c *Client) readCacheEvents(parent context.Context, address string, after uint64, handle func(CacheEvent)) (last uint64, quiet bool, err error) {
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
		return fail(statusError(response))
	}
	defer response.Body.Close()
	period := c.config.quietPeriod.Duration()
	timer := time.AfterFunc(period, cancel)
	defer timer.Stop()
	r := newEventReader(response.Body, c.config.maxLineBytes)
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
		var event CacheEvent
		if err := json.Unmarshal(e.data, &event); err != nil {
			return fail(err)
		}
		handle(event)
		after = event.Sequence
		timer.Reset(period)
	}
}
