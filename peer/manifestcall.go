package peer

import (
	"context"

	"connectrpc.com/connect"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/membership"
)

type manifestRequest struct {
	Version uint64   `cbor:"1,keyasint,omitempty"`
	Want    []string `cbor:"2,keyasint,omitempty"`
}

type manifestReply struct {
	Version  uint64        `cbor:"1,keyasint"`
	Digest   string        `cbor:"2,keyasint"`
	Sections []wireSection `cbor:"3,keyasint"`
	Record   []byte        `cbor:"4,keyasint,omitempty"`
}

type wireSection struct {
	Digest string `cbor:"2,keyasint"`
	Data   []byte `cbor:"3,keyasint,omitempty"`
}

// Manifest requests a manifest from a member.
func (e *Endpoint) Manifest(ctx context.Context, target membership.Member, query ManifestQuery) (ManifestPart, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, manifestTimeout)
		defer cancel()
	}
	l := e.link(target.Address)
	reply, err := call(ctx, e, l, l.manifest, &manifestRequest{Version: query.Version, Want: query.Want})
	if err != nil {
		return ManifestPart{}, err
	}
	part := ManifestPart{Version: reply.Version, Digest: reply.Digest, Record: reply.Record}
	for _, s := range reply.Sections {
		part.Sections = append(part.Sections, Section(s))
	}
	return part, nil
}

func (e *Endpoint) handleManifest(ctx context.Context, request *connect.Request[manifestRequest]) (*connect.Response[manifestReply], error) {
	if e.ServeManifest == nil {
		return nil, toConnectError(&poplarwinch.Error{
			Kind: poplarwinch.KindNotFound, Outcome: poplarwinch.OutcomeNotRun,
			Message: "this instance has no manifest", Remedy: "ask another peer",
		})
	}
	part, err := e.ServeManifest(ctx, ManifestQuery{Version: request.Msg.Version, Want: request.Msg.Want})
	if err != nil {
		return nil, toConnectError(err)
	}
	reply := &manifestReply{Version: part.Version, Digest: part.Digest, Record: part.Record}
	for _, s := range part.Sections {
		reply.Sections = append(reply.Sections, wireSection(s))
	}
	return connect.NewResponse(reply), nil
}
