package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

const (
	// defaultWatchTimeout bounds one watch, so that a connection that no longer delivers data is replaced.
	defaultWatchTimeout = 30 * time.Second
	// watchTimeoutGrace is the further time that the client gives the platform to end a watch at its timeout.
	watchTimeoutGrace = 3 * time.Second
	// minReadInterval is the shortest time between two reads of the whole list.
	minReadInterval = time.Second
	// defaultMaxReadInterval is the longest time for which changes are applied to a list. It ends a difference that no watch shows: a
	// restored platform may wait silently until its versions reach the requested one.
	defaultMaxReadInterval = 5 * time.Minute
	// readJitter is the fraction of the interval by which instances differ, so that they don't read at the same time.
	readJitter = 0.2
)

// errExpired means that the platform no longer has the resource version from which a watch should continue.
var errExpired = errors.New("the resource version of the instance list has expired")

// watchEvent is one event of a watch: a change of an EndpointSlice, a bookmark or an error.
type watchEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// Follow passes the list to apply at the start and after each change, until ctx ends or the platform fails to answer.
// It watches for changes instead of reading the whole list, which grows with the fleet, each time. It reads the whole list again
// after a watch that the platform ended early, since a platform that was restored gives out known versions again. Its errors
// are *UnavailableError.
func (r *Roster) Follow(ctx context.Context, apply func([]Endpoint)) error {
	for {
		nextRead := time.NewTimer(minReadInterval)
		var list endpointSliceList
		if _, err := r.pool.Call(ctx, r.timeout, func(ctx context.Context) error { return r.read(ctx, &list) }); err != nil {
			return &UnavailableError{Cause: err}
		}
		apply(list.endpoints())
		if err := r.watchUntilExpired(ctx, &list, apply); err != nil {
			return &UnavailableError{Cause: err}
		}
		select {
		case <-ctx.Done():
			return &UnavailableError{Cause: ctx.Err()}
		case <-nextRead.C:
		}
	}
}

// watchUntilExpired applies changes to the list until it must be read again.
func (r *Roster) watchUntilExpired(ctx context.Context, list *endpointSliceList, apply func([]Endpoint)) error {
	interval := time.Duration(float64(r.maxReadInterval) * (1 - readJitter*rand.Float64()))
	for end := time.Now().Add(interval); time.Now().Before(end); {
		started := time.Now()
		err := r.watch(ctx, list, apply)
		if errors.Is(err, errExpired) || err == nil && time.Since(started) < r.watchTimeout {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// watch applies changes to the list until the watch ends.
func (r *Roster) watch(ctx context.Context, list *endpointSliceList, apply func([]Endpoint)) error {
	ctx, cancel := context.WithTimeout(ctx, r.watchTimeout+watchTimeoutGrace)
	defer cancel()
	query := url.Values{}
	query.Set("watch", "true")
	query.Set("allowWatchBookmarks", "true")
	query.Set("resourceVersion", list.Metadata.ResourceVersion)
	query.Set("timeoutSeconds", strconv.Itoa(int(r.watchTimeout.Seconds())))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.endpoint+listPath+"&"+query.Encode(), nil)
	if err != nil {
		return err
	}
	r.authorize(request)
	response, err := r.pool.Client().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return errExpired
	default:
		return fmt.Errorf("watch of the instance list: status %d, want 200", response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, int64(r.maxBytes)))
	for {
		var event watchEvent
		switch err := decoder.Decode(&event); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("decode watch event: %w", err)
		}
		changed, err := list.applyEvent(event)
		if err != nil {
			return err
		}
		if changed {
			apply(list.endpoints())
		}
	}
}

// applyEvent applies a watch event and reports whether it changed the list.
func (l *endpointSliceList) applyEvent(event watchEvent) (bool, error) {
	if event.Type == "ERROR" {
		var status struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
		}
		if err := json.Unmarshal(event.Object, &status); err == nil && status.Code == http.StatusGone {
			return false, errExpired
		}
		return false, fmt.Errorf("watch ended by the platform: %s", event.Object)
	}
	var changed endpointSlice
	if err := json.Unmarshal(event.Object, &changed); err != nil {
		return false, fmt.Errorf("decode the object of watch event %s: %w", event.Type, err)
	}
	if changed.Metadata.ResourceVersion != "" {
		l.Metadata.ResourceVersion = changed.Metadata.ResourceVersion
	}
	index := slices.IndexFunc(l.Items, func(x endpointSlice) bool { return x.Metadata.Name == changed.Metadata.Name })
	switch event.Type {
	case "BOOKMARK":
		return false, nil
	case "DELETED":
		if index >= 0 {
			l.Items = slices.Delete(l.Items, index, index+1)
		}
	case "ADDED", "MODIFIED":
		if index >= 0 {
			l.Items[index] = changed
		} else {
			l.Items = append(l.Items, changed)
		}
	default:
		return false, fmt.Errorf("watch event of unknown type %q; want ADDED, MODIFIED, DELETED, BOOKMARK or ERROR", event.Type)
	}
	return true, nil
}
