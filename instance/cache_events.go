package instance

import (
	"context"

	"github.com/poplarwinch/poplarwinch/engine"
	"github.com/poplarwinch/poplarwinch/routing"
	"github.com/poplarwinch/poplarwinch/upstream"
)

// initFollower creates the follower of the engines' cache events, which corrects the router's prefix index.
func (i *Instance) initFollower() {
	i.follower = routing.NewFollower(i.settings.Instance.ID, i.clock, i.router.Prefixes())
	i.follower.Engines = i.followedEngines
	i.follower.Events = func(ctx context.Context, u *upstream.Upstream, after uint64, handle func(routing.CacheEvent)) error {
		return i.engines.CacheEvents(ctx, u.Address, after, func(e engine.CacheEvent) {
			blocks := make([]uint64, len(e.Blocks))
			for k, b := range e.Blocks {
				blocks[k] = uint64(b)
			}
			handle(routing.CacheEvent{Sequence: e.Sequence, Removed: e.Kind == engine.CacheRemoved, Blocks: blocks})
		})
	}
}

// followedEngines returns the engines of this failure domain with their last observed boot IDs.
func (i *Instance) followedEngines() []routing.Followed {
	var list []routing.Followed
	for _, e := range i.placementEngines() {
		if u, ok := i.registry.Snapshot().Lookup(e.ID); ok {
			list = append(list, routing.Followed{Upstream: u, BootID: e.BootID})
		}
	}
	return list
}
