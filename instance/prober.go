package instance

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/service"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// prober reads the health and load of upstreams.
type prober struct {
	clock    *clock.Clock
	engines  *engine.Client
	services *service.Client
}

// health reads the health of an upstream on a new connection, as both clients always do.
func (p *prober) health(ctx context.Context, u *upstream.Upstream, _ bool) (upstream.Health, error) {
	if u.Kind == upstream.KindService {
		return p.serviceHealth(ctx, u)
	}
	reply, err := p.engines.Health(ctx, u.Address)
	if err != nil {
		return upstream.Health{}, err
	}
	return upstream.Health{Ready: reply.Ready, Leaving: reply.Leaving, BootID: reply.BootID, Models: loadedModels(reply)}, nil
}

// loadedModels converts the models of an engine's health reply. The result is never nil.
func loadedModels(health engine.Health) []upstream.LoadedModel {
	models := make([]upstream.LoadedModel, len(health.Models))
	for i, m := range health.Models {
		models[i] = upstream.LoadedModel{Name: m.Name, Version: m.Version}
		for _, a := range m.Adapters {
			models[i].Adapters = append(models[i].Adapters, upstream.LoadedAdapter{Name: a.Name, Version: a.Version})
		}
	}
	return models
}

// serviceStatus is the health reply of a service.
type serviceStatus struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
}

// serviceHealth reads the health of a service. Services need not implement the health protocol: a reply in another
// format counts as ready unless its status is 500 or above.
func (p *prober) serviceHealth(ctx context.Context, u *upstream.Upstream) (upstream.Health, error) {
	call := service.Call{Method: http.MethodGet, Path: "/health", Header: http.Header{}}
	response, err := p.services.Do(ctx, u.Address, call)
	if err != nil {
		return upstream.Health{}, err
	}
	var status serviceStatus
	if json.Unmarshal(response.Body, &status) != nil {
		status = serviceStatus{Ready: response.Status < http.StatusInternalServerError}
	}
	return upstream.Health{Ready: status.Ready, Leaving: status.Leaving}, nil
}

func (p *prober) load(ctx context.Context, u *upstream.Upstream) (upstream.Load, error) {
	reply, err := p.engines.Load(ctx, u.Address)
	if err != nil {
		return upstream.Load{}, err
	}
	return upstream.Load{
		At:              p.clock.Now() - reply.Age,
		RunningRequests: int64(reply.RunningRequests), WaitingRequests: int64(reply.WaitingRequests),
		WaitingPrefillTokens: reply.WaitingPrefillTokens, KVUsedTokens: reply.UsedTokens, KVCapacityTokens: reply.CapacityTokens,
		PrefillTokensPerSecond: int64(reply.PrefillTokensPerSecond),
	}, nil
}
