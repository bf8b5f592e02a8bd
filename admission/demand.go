package admission

import (
	"sync"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/internal/window"
	"github.com/poplarwinch/poplarwinch/routing"
)

const (
	// Demand is what arrived in the last minute: loading a model takes tens of seconds, so shorter peaks are over by then.
	demandSpan    = clock.Minute
	demandBuckets = 64
)

// demand counts the tokens of prompts that asked for admission, by model. Prompts that are rejected count too, since they
// may be rejected for want of engines.
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

// Demand returns for each model the prompt tokens of the last minute that asked for admission here.
func (c *Controller) Demand() map[poplarwinch.ModelName]int64 {
	now, tokens := c.clock.Now(), map[poplarwinch.ModelName]int64{}
	c.demand.models.Range(func(name, counter any) bool {
		tokens[name.(poplarwinch.ModelName)] = counter.(*window.Counter).Sum(now, demandSpan)
		return true
	})
	return tokens
}
