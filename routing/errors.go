package routing

import (
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// retryAfter is the suggested wait when no upstream is available. Upstreams are probed every 500 ms, so one that comes
// back is usually known after a second.
const retryAfter = clock.Second

func noEngine(p *Prompt, up int) error {
	name := string(p.Model)
	if p.Adapter != "" {
		name += ":" + string(p.Adapter)
	}
	return unavailable("engine with model "+name, up, len(p.Avoid))
}

func noServer(service poplarwinch.ServiceName, up int) error {
	return unavailable("server of service "+string(service), up, 0)
}

func unavailable(what string, up, avoided int) error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnavailable, Outcome: poplarwinch.OutcomeNotRun,
		Message: fmt.Sprintf("no %s is available (%d up, %d of them excluded for this request)", what, up, avoided),
		Remedy:  "repeat the request after the time in Retry-After", RetryAfter: retryAfter,
	}
}
