package instance

import (
	"context"
	"errors"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/operator"
)

// operate creates the server for operators.
func (i *Instance) operate() {
	i.operator = operator.New()
	i.operator.Status = i.status
	i.operator.Ready = func() error {
		if i.entry.Ready() {
			return nil
		}
		return errors.New("no manifest, or shutting down")
	}
	i.operator.Manifest = i.activeManifest
	i.operator.Commit = func(ctx context.Context, data []byte, replaces uint64, id string) (operator.ManifestVersion, error) {
		version, err := i.store.Commit(ctx, data, manifest.Version(replaces), id)
		if err != nil {
			return operator.ManifestVersion{}, err
		}
		return operator.ManifestVersion{Version: uint64(version), Digest: i.digest(version)}, nil
	}
	i.operator.Metrics = func(w io.Writer) {
		i.entry.WriteMetrics(w)
		i.alarms.write(w)
		sent, received := i.peers.Traffic()
		metrics.WriteCounterUint64(w, `poplarwinch_peer_bytes_total{direction="sent"}`, sent)
		metrics.WriteCounterUint64(w, `poplarwinch_peer_bytes_total{direction="received"}`, received)
		metrics.WritePrometheus(w, true)
	}
}

// digest returns the digest of a version if it is the active one.
func (i *Instance) digest(version manifest.Version) string {
	if record, ok := i.store.Record(); ok && record.Version == version {
		return record.Digest
	}
	return ""
}

func (i *Instance) activeManifest(context.Context) ([]byte, operator.ManifestVersion, error) {
	x := i.store.Active()
	if x == nil {
		return nil, operator.ManifestVersion{}, &poplarwinch.Error{
			Kind: poplarwinch.KindNotFound, Outcome: poplarwinch.OutcomeNotRun,
			Message: "there is no active manifest", Remedy: "commit one that replaces version 0",
		}
	}
	body, err := x.Manifest.Encode()
	return body, operator.ManifestVersion{Version: uint64(x.Version), Digest: x.Digest}, err
}

// status returns what operators see of the instance.
func (i *Instance) status() operator.Status {
	v := i.members.Snapshot()
	s := operator.Status{
		Instance: i.settings.Instance.ID, Version: i.version, FailureDomain: i.settings.Instance.FailureDomain,
		Ready: i.entry.Ready(), RequestsInFlight: int(i.entry.InFlight()), Rejections: i.entry.Rejections(),
		Alarms: i.alarms.list(),
	}
	if x := i.store.Active(); x != nil {
		s.Manifest = operator.ManifestVersion{Version: uint64(x.Version), Digest: x.Digest}
	}
	for _, m := range v.Known {
		if m.ID == v.Self.ID {
			continue
		}
		s.Peers = append(s.Peers, operator.Peer{
			Instance: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: string(m.State), ManifestVersion: m.ManifestVersion,
		})
	}
	for _, contacts := range v.Contacts {
		for _, m := range contacts {
			s.Peers = append(s.Peers, operator.Peer{
				Instance: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: string(m.State), ManifestVersion: m.ManifestVersion,
			})
		}
	}
	now := i.clock.Now()
	for _, u := range i.registry.Snapshot().All() {
		l := u.Load()
		shown := operator.Upstream{
			ID: u.ID, Kind: string(u.Kind), Pool: u.Pool, Address: u.Address, State: string(u.State()),
			Running: int(l.RunningRequests), Waiting: int(l.WaitingRequests), WaitingPrefillTokens: l.WaitingPrefillTokens,
			KVUsedTokens: l.KVUsedTokens, KVCapacityTokens: l.KVCapacityTokens, InFlight: int(u.Running()),
		}
		if l.At != 0 {
			shown.ReportAge = now - l.At
		}
		s.Upstreams = append(s.Upstreams, shown)
	}
	return s
}
