package peer

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch/membership"
)

// noticeRoute is the forwarding stage of a notice. It prevents forwarding loops.
type noticeRoute string

const (
	// routeOrigin means that the notice goes from the notifying instance to its own domain. That instance and the members
	// with contacts forward the suspects to other domains.
	routeOrigin noticeRoute = ""
	// routeOtherDomain means that the notice comes from a member of another domain. The receiver forwards it within its
	// own domain.
	routeOtherDomain noticeRoute = "across"
	// routeFinal means that the notice is not forwarded.
	routeFinal noticeRoute = "last"
)

// forwardSuspects forwards the suspects of a notice along its route. They must reach other domains at once,
// because the client of a crashing request may repeat it there within milliseconds. forwardSuspects returns
// when all targets have answered or failed, since Notify waits for that. Domains that cannot be reached
// learn the suspects from the next exchange.
func (e *Endpoint) forwardSuspects(ctx context.Context, n *noticeRequest) {
	if len(n.Suspects) == 0 || n.Route == routeFinal {
		return
	}
	view := e.members.Snapshot()
	next := noticeRequest{From: wireMember(view.Self), Suspects: n.Suspects, Route: routeOtherDomain}
	targets := allContacts(view)
	if n.From.FailureDomain != view.Self.FailureDomain {
		next.Route, targets = routeFinal, view.Live
	}
	_ = e.broadcast(ctx, targets, &next)
}

// allContacts returns the contacts in all other domains.
func allContacts(view *membership.View) []membership.Member {
	var list []membership.Member
	for _, members := range view.Contacts {
		list = append(list, members...)
	}
	return list
}

// broadcast sends a request to all targets except this instance in parallel and returns the joined errors.
func (e *Endpoint) broadcast(ctx context.Context, targets []membership.Member, request *noticeRequest) error {
	self := e.members.Snapshot().Self.ID
	targets = slices.DeleteFunc(slices.Clone(targets), func(m membership.Member) bool { return m.ID == self })
	var wait sync.WaitGroup
	failures := make([]error, len(targets))
	for i, m := range targets {
		wait.Go(func() { failures[i] = e.notify(ctx, m, request) })
	}
	wait.Wait()
	return errors.Join(failures...)
}
