package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

const (
	// watchSpan bounds one watch. A connection that went silent is noticed when its span is over.
	watchSpan = 30 * time.Second
	// watchGrace is the time after the span within which the platform ends the watch by itself.
	watchGrace = 3 * time.Second
)

// errExpired means that the platform no longer has the version from which a watch was to continue.
var errExpired = errors.New("the version of the list has expired")

// watchEvent is one change of an EndpointSlice.
type watchEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// Follow passes the list to apply at the start and after each change, until ctx ends or the platform stops answering.
// Only changes cross the network, since the whole list grows with the fleet. Its errors are *UnavailableError.
func (r *Roster) Follow(ctx context.Context, apply func([]Endpoint)) error {
	for {
		var list endpointSliceList
		if _, err := r.pool.Call(ctx, r.timeout, func(ctx context.Context) error { return r.read(ctx, &list) }); err != nil {
			return &UnavailableError{Cause: err}
		}
		apply(list.endpoints())
		for {
			err := r.watch(ctx, &list, apply)
			if errors.Is(err, errExpired) {
				break
			}
			if err != nil {
				return &UnavailableError{Cause: err}
			}
		}
	}
}

// watch takes over the changes of the list until the end of its span.
func (r *Roster) watch(ctx context.Context, list *endpointSliceList, apply func([]Endpoint)) error {
	ctx, cancel := context.WithTimeout(ctx, watchSpan+watchGrace)
	defer cancel()
	query := url.Values{}
	query.Set("watch", "true")
	query.Set("allowWatchBookmarks", "true")
	query.Set("resourceVersion", list.Metadata.ResourceVersion)
	query.Set("timeoutSeconds", strconv.Itoa(int(watchSpan.Seconds())))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.endpoint+path+"&"+query.Encode(), nil)
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
		return fmt.Errorf("status %d", response.StatusCode)
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, int64(r.maxBytes)))
	for {
		var event watchEvent
		switch err := decoder.Decode(&event); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("watch: %w", err)
		}
		changed, err := list.take(event)
		if err != nil {
			return err
		}
		if changed {
			apply(list.endpoints())
		}
	}
}

// take applies an event and reports whether it changed the list.
func (l *endpointSliceList) take(event watchEvent) (bool, error) {
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
	var s endpointSlice
	if err := json.Unmarshal(event.Object, &s); err != nil {
		return false, fmt.Errorf("watch event %s: %w", event.Type, err)
	}
	if s.Metadata.ResourceVersion != "" {
		l.Metadata.ResourceVersion = s.Metadata.ResourceVersion
	}
	i := slices.IndexFunc(l.Items, func(x endpointSlice) bool { return x.Metadata.Name == s.Metadata.Name })
	switch event.Type {
	case "BOOKMARK":
		return false, nil
	case "DELETED":
		if i >= 0 {
			l.Items = slices.Delete(l.Items, i, i+1)
		}
	case "ADDED", "MODIFIED":
		if i >= 0 {
			l.Items[i] = s
		} else {
			l.Items = append(l.Items, s)
		}
	default:
		return false, fmt.Errorf("watch event of unknown type %q", event.Type)
	}
	return true, nil
}
