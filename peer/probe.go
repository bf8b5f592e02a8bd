package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch/membership"
)

// probeRequest is a direct probe with the prober's records or, with a target, a request to probe that member.
type probeRequest struct {
	Records []wireMember `cbor:"1,keyasint,omitempty"`
	Target  *wireMember  `cbor:"2,keyasint,omitempty"`
}

type probeReply struct {
	Records []wireMember `cbor:"1,keyasint"`
}

// Probe sends records to a member and returns the records in its reply.
func (e *Endpoint) Probe(ctx context.Context, target membership.Member, records []membership.Member) ([]membership.Member, error) {
	return e.sendProbe(ctx, target, &probeRequest{Records: encodeMembers(records)})
}

// ProbeVia asks a member to probe target and returns target's records.
func (e *Endpoint) ProbeVia(ctx context.Context, via, target membership.Member) ([]membership.Member, error) {
	t := wireMember(target)
	return e.sendProbe(ctx, via, &probeRequest{Target: &t})
}

func (e *Endpoint) sendProbe(ctx context.Context, target membership.Member, request *probeRequest) ([]membership.Member, error) {
	l := e.link(target.Address)
	reply, err := call(ctx, e, l, l.probe, request)
	if err != nil {
		return nil, err
	}
	return decodeMembers(reply.Records), nil
}

func (e *Endpoint) handleProbe(ctx context.Context, request *connect.Request[probeRequest]) (*connect.Response[probeReply], error) {
	if request.Msg.Target == nil {
		records := e.members.HandleProbe(decodeMembers(request.Msg.Records))
		return connect.NewResponse(&probeReply{Records: encodeMembers(records)}), nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(relayTimeoutFraction*float64(time.Until(deadline))))
		defer cancel()
	}
	records, err := e.members.RelayProbe(ctx, membership.Member(*request.Msg.Target))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&probeReply{Records: encodeMembers(records)}), nil
}
