// Package roster is the client of the platform's instance list, the Kubernetes EndpointSlice API. The list contains the
// running and terminating engines, services and entry instances.
package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/internal/connection"
)

// listPath lists the EndpointSlices that have the kind label of this system.
const listPath = "/apis/discovery.k8s.io/v1/endpointslices?labelSelector=poplarwinch%2Fkind"

// Roster reads the instance list. Each call has a deadline.
type Roster struct {
	endpoint string
	token    string
	timeout  time.Duration
	maxBytes poplarwinch.Bytes
	pool     *connection.Pool

	watchTimeout    time.Duration
	maxReadInterval time.Duration
}

// New returns a client of the instance list.
func New(opts ...Option) *Roster {
	r := &Roster{
		timeout: 2 * time.Second, maxBytes: 32 << 20, pool: connection.New(),
		watchTimeout: defaultWatchTimeout, maxReadInterval: defaultMaxReadInterval,
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// List returns all endpoints of the list, which may lag behind the actual state. Its errors are *UnavailableError, on
// which a caller should keep the last list.
func (r *Roster) List(ctx context.Context) ([]Endpoint, error) {
	var list endpointSliceList
	_, err := r.pool.Call(ctx, r.timeout, func(ctx context.Context) error { return r.read(ctx, &list) })
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return list.endpoints(), nil
}

// read reads the whole list within maxBytes.
func (r *Roster) read(ctx context.Context, list *endpointSliceList) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.endpoint+listPath, nil)
	if err != nil {
		return err
	}
	r.authorize(request)
	response, err := r.pool.Client().Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read of the instance list: status %d, want 200", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, int64(r.maxBytes)+1))
	if err != nil {
		return err
	}
	if poplarwinch.Bytes(len(data)) > r.maxBytes {
		return fmt.Errorf("instance list is longer than the limit of %d bytes", r.maxBytes)
	}
	if err := json.Unmarshal(data, list); err != nil {
		return err
	}
	// Other documents, such as a Status object, would otherwise decode as an empty list.
	if list.Kind != "EndpointSliceList" {
		return fmt.Errorf("document has kind %q instead of EndpointSliceList", list.Kind)
	}
	return nil
}

func (r *Roster) authorize(request *http.Request) {
	request.Header.Set("Accept", "application/json")
	if r.token != "" {
		request.Header.Set("Authorization", "Bearer "+r.token)
	}
}
