package peer

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch/membership"
)

var errNoMessage = errors.New("exchange reply has no membership message")

// exchangeRequest is the first request of an exchange, or the closing one with the observations that the
// reply requested.
type exchangeRequest struct {
	Message      *wireMessage      `cbor:"1,keyasint,omitempty"` // nil in the closing request
	Digest       []byte            `cbor:"2,keyasint,omitempty"` // nil between domains
	Suspects     []wireSuspect     `cbor:"3,keyasint,omitempty"`
	SuspectHash  uint64            `cbor:"4,keyasint,omitempty"` // of all suspects of the sender
	Observations []wireObservation `cbor:"5,keyasint,omitempty"`
	Loads        []byte            `cbor:"6,keyasint,omitempty"`
}

type exchangeReply struct {
	Message          *wireMessage      `cbor:"1,keyasint,omitempty"`
	Suspects         []wireSuspect     `cbor:"2,keyasint,omitempty"`
	SuspectHash      uint64            `cbor:"3,keyasint,omitempty"`
	Observations     []wireObservation `cbor:"4,keyasint,omitempty"`
	Loads            []byte            `cbor:"5,keyasint,omitempty"`
	WantObservations []byte            `cbor:"6,keyasint,omitempty"` // packed positions in the digest: send the full observation
	WantLoads        []byte            `cbor:"7,keyasint,omitempty"` // packed positions in the digest: send the load
}

// Exchange exchanges membership messages, suspects and, within a domain, observations with a member or candidate.
func (e *Endpoint) Exchange(ctx context.Context, target membership.Member, message membership.Message) (membership.Message, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	sameDomain := target.FailureDomain == message.From.FailureDomain
	wire := encodeMessage(message)
	request := &exchangeRequest{Message: &wire}
	var own *observationSet
	if sameDomain {
		own = e.observations()
		request.Digest = own.digest()
	}
	request.Suspects, request.SuspectHash = e.suspectsToSend(target.ID)
	l := e.link(target.Address)
	reply, err := call(ctx, e, l, l.exchange, request)
	if err != nil {
		return membership.Message{}, err
	}
	if reply.Message == nil {
		return membership.Message{}, fromConnectError(connect.NewError(connect.CodeInternal, errNoMessage))
	}
	e.setSuspectHash(reply.Message.From.ID, reply.SuspectHash)
	e.mergeSuspects(decodeSuspects(reply.Suspects))
	e.offerVersion(ctx, reply.Message.From.ManifestVersion, reply.Message.From.ManifestDigest)
	if sameDomain {
		// The membership message is valid even if this fails; the next exchange sends the observations again.
		_ = e.finishExchange(ctx, l, own, reply)
	}
	return reply.Message.decode(), nil
}

// finishExchange merges the observations of a reply and sends those that it requests.
func (e *Endpoint) finishExchange(ctx context.Context, l *link, own *observationSet, reply *exchangeReply) error {
	updated, err := own.applyLoads(reply.Loads)
	if err != nil {
		return fromConnectError(connect.NewError(connect.CodeInternal, err))
	}
	e.mergeObservations(append(updated, decodeObservations(reply.Observations)...))
	fullObservations, loads, err := own.answer(reply.WantObservations, reply.WantLoads)
	if err != nil {
		return fromConnectError(connect.NewError(connect.CodeInternal, err))
	}
	if len(fullObservations) == 0 && len(loads) == 0 {
		return nil
	}
	_, err = call(ctx, e, l, l.exchange, &exchangeRequest{Observations: encodeObservations(fullObservations), Loads: loads})
	return err
}

func (e *Endpoint) handleExchange(ctx context.Context, request *connect.Request[exchangeRequest]) (*connect.Response[exchangeReply], error) {
	r := request.Msg
	reply := &exchangeReply{}
	e.mergeSuspects(decodeSuspects(r.Suspects))
	if r.Message != nil {
		message := r.Message.decode()
		wire := encodeMessage(e.members.HandleRequest(message))
		reply.Message = &wire
		e.offerVersion(ctx, message.From.ManifestVersion, message.From.ManifestDigest)
		reply.Suspects, reply.SuspectHash = e.currentSuspects()
		if reply.SuspectHash == r.SuspectHash {
			reply.Suspects = nil
		}
	}
	own := e.observations()
	if r.Digest != nil {
		d, err := own.compare(r.Digest)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		reply.Observations, reply.Loads = encodeObservations(d.fullObservations), d.loads
		reply.WantObservations, reply.WantLoads = d.wantObservations, d.wantLoads
	}
	updated, err := own.applyLoads(r.Loads)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	e.mergeObservations(append(updated, decodeObservations(r.Observations)...))
	return connect.NewResponse(reply), nil
}

func (e *Endpoint) observations() *observationSet {
	if e.Observations == nil {
		return newObservationSet(nil)
	}
	return newObservationSet(e.Observations())
}
