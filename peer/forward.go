package peer

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/poplarwinch/poplarwinch/membership"
)

// noticeRoute says how far a notice has come, so that none is passed on in a circle.
type noticeRoute string

const (
	// routeObserver: from the observer to its domain; members with contacts pass suspects on to other domains.
	routeObserver noticeRoute = ""
	// routeAcross: from another domain; the receiver passes it on to its own.
	routeAcross noticeRoute = "across"
	// routeLast: not passed on.
	routeLast noticeRoute = "last"
)

// passOn sends suspects to other domains at once, because the caller of a crashing request may send it again there
// within milliseconds. It returns when they know, since the observer's caller waits for that. A domain that does not
// answer learns them from the next exchange.
func (e *Endpoint) passOn(ctx context.Context, n *noticeRequest) {
	if len(n.Suspects) == 0 || n.Route == routeLast {
		return
	}
	v := e.members.Snapshot()
	next := noticeRequest{From: wireMember(v.Self), Suspects: n.Suspects, Route: routeAcross}
	targets := contacts(v)
	if n.From.FailureDomain != v.Self.FailureDomain {
		next.Route, targets = routeLast, v.Live
	}
	_ = e.broadcast(ctx, targets, &next)
}

// contacts returns the known members of other domains.
func contacts(v *membership.View) []membership.Member {
	var list []membership.Member
	for _, members := range v.Contacts {
		list = append(list, members...)
	}
	return list
}

// broadcast sends a request to all targets but this instance at once and returns the errors.
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
