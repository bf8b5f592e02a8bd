package admission

import (
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/window"
	"github.com/poplarwinch/poplarwinch/routing"
)

const (
	// demandWindow is the window over which demand is summed. Loading a model takes tens of seconds, and shorter peaks have
	// passed by then.
	demandWindow = clock.Minute
	// demandBuckets is the number of one-second buckets of the counter.
	demandBuckets = 64
)

// demand counts the tokens of the prompts that asked for admission, by model. Rejected prompts count too, since a lack of
// engines may be the reason for the rejection.
type demand struct {
	models sync.Map // poplarwinch.ModelName to *window.Counter
}

func (d *demand) add(now clock.Millis, p *routing.Prompt) {
	c, ok := d.models.Load(p.Model)
	if !ok {
		c, _ = d.models.LoadOrStore(p.Model, window.New(clock.Second, demandBuckets))
	}
	c.(*window.Counter).Add(now, max(1, int64(p.Tokens)))
}

// Demand returns the number of prompt tokens for which admission was requested at this instance in the last minute, by
// model.
func (c *Controller) Demand() map[poplarwinch.ModelName]int64 {
	now, tokens := c.clock.Now(), map[poplarwinch.ModelName]int64{}
	c.demand.models.Range(func(name, counter any) bool {
		tokens[name.(poplarwinch.ModelName)] = counter.(*window.Counter).Sum(now, demandWindow)
		return true
	})
	return tokens
}
