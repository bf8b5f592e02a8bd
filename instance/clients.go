package instance

import (
	"net"
	"runtime/debug"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/internal/bytebudget"
	"github.com/poplarwinch/poplarwinch/internal/clientlimit"
	"github.com/poplarwinch/poplarwinch/settings"
)

// Parts of the machine's memory for what callers make the instance hold. The rest of the runtime's memory, 0.36 of the machine's, is for the
// instance itself and for control.
const (
	bodyFraction       = 0.2
	answerFraction     = 0.04
	connectionFraction = 0.1
)

// clients bounds what callers make the instance hold.
type clients struct {
	guard       *clientlimit.Guard
	answers     *bytebudget.Budget
	descriptors clientlimit.Descriptors
	// bodies is the memory for request bodies.
	bodies poplarwinch.Bytes
}

// initClients divides the memory and the descriptors for callers.
func (i *Instance) initClients() {
	limits, caller := i.settings.Limits, i.settings.Caller
	memory := float64(limits.Memory)
	c := &i.clients
	c.bodies = caller.BodyMemory
	if limits.Lowered {
		c.bodies = min(c.bodies, poplarwinch.Bytes(memory*bodyFraction))
	}
	c.answers = bytebudget.New(poplarwinch.Bytes(memory * answerFraction))
	c.descriptors = clientlimit.Share(limits.Files)
	inForce := clientlimit.Limits{
		MaxHeader: int64(caller.MaxHeader), HeaderTimeout: caller.HeaderTimeout.Duration(), IdleTimeout: caller.IdleTimeout.Duration(),
		WriteStall: caller.WriteStall.Duration(),
	}
	c.guard = clientlimit.New(
		func() clientlimit.Limits { return inForce }, bytebudget.New(poplarwinch.Bytes(memory*connectionFraction)), c.descriptors.Callers, i.log,
	)
	c.answers.Reclaim = c.guard.ReclaimAnswer
}

// limitRuntime sets the runtime's memory limit if the settings or the environment bound the memory.
func (i *Instance) limitRuntime() {
	if limits := i.settings.Limits; limits.Lowered {
		debug.SetMemoryLimit(int64(float64(limits.Memory) * settings.RuntimeFraction))
	}
}

// capListeners bounds the connections of the listeners that are not for callers.
func (i *Instance) capListeners() {
	limit := func(l net.Listener, most int) net.Listener { return clientlimit.Cap(l, most) }
	i.listeners.peer = limit(i.listeners.peer, i.clients.descriptors.Peers)
	i.listeners.operator = limit(i.listeners.operator, 2*i.clients.descriptors.Side)
}
