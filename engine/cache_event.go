package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
)

// The kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEventKind says what happened to the blocks of a cache event.
type CacheEventKind string

// CacheEvent reports prefix blocks that entered or left an engine's cache.
type CacheEvent struct {
	// Sequence increases by 1 with each event; a gap means that events were lost.
	Sequence uint64                `json:"sequence"`
	Kind     CacheEventKind        `json:"event"`
	Model    poplarwinch.ModelName `json:"model"`
	Blocks   []Block               `json:"blocks"`
}

// Block is the hash of a prefix block; its JSON form has 16 hexadecimal digits.
type Block uint64

// MarshalText returns the hash as 16 hexadecimal digits.
func (b Block) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(b)), nil }

// UnmarshalText parses 16 hexadecimal digits.
func (b *Block) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 {
		return fmt.Errorf("block hash %q: want 16 hexadecimal digits", text)
	}
	*b = Block(v)
	return nil
}

// CacheEvents passes events after the given sequence number to handle until ctx ends or the connection breaks,
// and returns the reason. It has no idle timeout, since a cache without changes sends nothing.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64, handle func(CacheEvent)) error {
	const name = "cache events"
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := "http://" + address + "/kv/events?after=" + strconv.FormatUint(after, 10)
	response, sent, err := exchange(ctx, c.fresh, http.MethodGet, url, nil, nil)
	if err != nil {
		return &CallError{Operation: name, Address: address, Sent: sent, Cause: err}
	}
	if response.StatusCode != http.StatusOK {
		return &CallError{Operation: name, Address: address, Status: response.StatusCode, Sent: true, Cause: statusCause(response)}
	}
	defer response.Body.Close()
	r := newEventReader(response.Body, c.config.maxLine)
	for {
		e, err := r.next()
		if err != nil {
			return &CallError{Operation: name, Address: address, Status: response.StatusCode, Sent: true, Cause: err}
		}
		if e.comment {
			continue
		}
		var ce CacheEvent
		if err := json.Unmarshal(e.data, &ce); err != nil {
			return &CallError{Operation: name, Address: address, Status: response.StatusCode, Sent: true, Cause: err}
		}
		handle(ce)
	}
}
