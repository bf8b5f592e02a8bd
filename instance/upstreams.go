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

// prober asks upstreams for their health and load.
type prober struct {
	clock    *clock.Clock
	engines  *engine.Client
	services *service.Client
}

func (p *prober) health(ctx context.Context, u *upstream.Upstream, fresh bool) (upstream.Health, error) {
	if u.Kind == upstream.KindService {
		return p.serviceHealth(ctx, u, fresh)
	}
	h, err := p.engines.Health(ctx, u.Address)
	if err != nil {
		return upstream.Health{}, err
	}
	return upstream.Health{Ready: h.Ready, Leaving: h.Leaving, BootID: h.BootID, Models: loadedModels(h)}, nil
}

// loadedModels returns the models of an engine's health reply; the result is never nil.
func loadedModels(h engine.Health) []upstream.Loaded {
	models := make([]upstream.Loaded, len(h.Models))
	for i, m := range h.Models {
		models[i] = upstream.Loaded{Name: m.Name, Version: m.Version}
		for _, a := range m.Adapters {
			models[i].Adapters = append(models[i].Adapters, upstream.LoadedAdapter{Name: a.Name, Version: a.Version})
		}
	}
	return models
}

// serviceStatus is the health reply of a plain service.
type serviceStatus struct {
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
}

// serviceHealth treats any complete answer as healthy unless it says otherwise: plain services need not know the
// health protocol.
func (p *prober) serviceHealth(ctx context.Context, u *upstream.Upstream, fresh bool) (upstream.Health, error) {
	call := service.Call{Method: http.MethodGet, Path: "/health", Header: http.Header{}, Repeatable: !fresh}
	answer, err := p.services.Do(ctx, u.Address, call)
	if err != nil {
		return upstream.Health{}, err
	}
	var status serviceStatus
	if json.Unmarshal(answer.Body, &status) != nil {
		status = serviceStatus{Ready: answer.Status < http.StatusInternalServerError}
	}
	return upstream.Health{Ready: status.Ready, Leaving: status.Leaving}, nil
}

func (p *prober) load(ctx context.Context, u *upstream.Upstream) (upstream.Load, error) {
	l, err := p.engines.Load(ctx, u.Address)
	if err != nil {
		return upstream.Load{}, err
	}
	return upstream.Load{
		At:              p.clock.Now() - l.Age,
		RunningRequests: int64(l.RunningRequests), WaitingRequests: int64(l.WaitingRequests),
		WaitingPrefillTokens: l.WaitingPrefillTokens, KVUsedTokens: l.UsedTokens, KVCapacityTokens: l.CapacityTokens,
		PrefillTokensPerSecond: int64(l.PrefillTokensPerSecond),
	}, nil
}
