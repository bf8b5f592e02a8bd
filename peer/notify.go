package peer

import (
	"context"
	"fmt"
	"sync"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch/membership"
)

type noticeRequest struct {
	From            wireMember        `cbor:"1,keyasint"`
	Observations    []wireObservation `cbor:"2,keyasint,omitempty"`
	Suspects        []wireSuspect     `cbor:"3,keyasint,omitempty"`
	ManifestVersion uint64            `cbor:"4,keyasint,omitempty"`
	ManifestDigest  string            `cbor:"5,keyasint,omitempty"`
	Route           noticeRoute       `cbor:"6,keyasint,omitempty"`
}

type noticeReply struct{}

// Notify sends a notice to all live members of the domain in parallel, so that unreachable members do
// not delay the others. It returns the errors of those that did not answer; they learn the content from
// later exchanges. With 90 members a notice takes about 30 KB in total, so members do not forward it
// within the domain. Notify returns after the suspects have been forwarded to the other domains.
func (e *Endpoint) Notify(ctx context.Context, notice Notice) error {
	view := e.members.Snapshot()
	request := &noticeRequest{
		From: wireMember(view.Self), Observations: encodeObservations(notice.Observations), Suspects: encodeSuspects(notice.Suspects),
		ManifestVersion: notice.ManifestVersion, ManifestDigest: notice.ManifestDigest,
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	var wait sync.WaitGroup
	wait.Go(func() { e.forwardSuspects(ctx, request) })
	err := e.broadcast(ctx, view.Live, request)
	wait.Wait()
	return err
}

func (e *Endpoint) notify(ctx context.Context, target membership.Member, request *noticeRequest) error {
	l := e.link(target.Address)
	if _, err := call(ctx, e, l, l.notice, request); err != nil {
		return fmt.Errorf("notice to %s: %w", target.ID, err)
	}
	return nil
}

func (e *Endpoint) handleNotice(ctx context.Context, request *connect.Request[noticeRequest]) (*connect.Response[noticeReply], error) {
	n := request.Msg
	e.mergeObservations(decodeObservations(n.Observations))
	e.mergeSuspects(decodeSuspects(n.Suspects))
	e.offerVersion(ctx, n.ManifestVersion, n.ManifestDigest)
	e.forwardSuspects(ctx, n)
	return connect.NewResponse(&noticeReply{}), nil
}

func (e *Endpoint) mergeObservations(observations []Observation) {
	if e.MergeObservations != nil && len(observations) > 0 {
		e.MergeObservations(observations)
	}
}

func (e *Endpoint) mergeSuspects(suspects []Suspect) {
	if e.MergeSuspects != nil && len(suspects) > 0 {
		e.MergeSuspects(suspects)
	}
}

func (e *Endpoint) offerVersion(ctx context.Context, version uint64, digest string) {
	if e.OnPeerVersion != nil && version > 0 {
		e.OnPeerVersion(ctx, version, digest)
	}
}
