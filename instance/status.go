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

// initOperator creates the operators' HTTP server.
func (i *Instance) initOperator() {
	i.operator = operator.New()
	i.operator.Status = i.status
	i.operator.Ready = func() error {
		if i.entry.Ready() {
			return nil
		}
		return errors.New("instance not ready: no active manifest, or starting up or shutting down")
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
		i.clients.guard.WriteMetrics(w)
		metrics.WritePrometheus(w, true)
	}
}

// digest returns the digest of a manifest version, or an empty string if it is not the active one.
func (i *Instance) digest(version manifest.Version) string {
	if record, ok := i.store.Record(); ok && record.Version == version {
		return record.Digest
	}
	return ""
}

// activeManifest returns the encoded active manifest.
func (i *Instance) activeManifest(context.Context) ([]byte, operator.ManifestVersion, error) {
	active := i.store.Active()
	if active == nil {
		return nil, operator.ManifestVersion{}, &poplarwinch.Error{
			Kind: poplarwinch.KindNotFound, Outcome: poplarwinch.OutcomeNotRun,
			Message: "there is no active manifest", Remedy: "commit one that replaces version 0",
		}
	}
	body, err := active.Manifest.Encode()
	return body, operator.ManifestVersion{Version: uint64(active.Version), Digest: active.Digest}, err
}

// status returns the instance's status for operators.
func (i *Instance) status() operator.Status {
	view := i.members.Snapshot()
	result := operator.Status{
		Instance: i.settings.Instance.ID, Version: i.version, FailureDomain: i.settings.Instance.FailureDomain,
		Ready: i.entry.Ready(), RequestsInFlight: int(i.entry.InFlight()), Rejections: i.entry.Rejections(),
		Alarms: i.alarms.list(),
	}
	if active := i.store.Active(); active != nil {
		result.Manifest = operator.ManifestVersion{Version: uint64(active.Version), Digest: active.Digest}
	}
	for _, m := range view.Known {
		if m.ID == view.Self.ID {
			continue
		}
		result.Peers = append(result.Peers, operator.Peer{
			Instance: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: string(m.State), ManifestVersion: m.ManifestVersion,
		})
	}
	for _, contacts := range view.Contacts {
		for _, m := range contacts {
			result.Peers = append(result.Peers, operator.Peer{
				Instance: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: string(m.State), ManifestVersion: m.ManifestVersion,
			})
		}
	}
	now := i.clock.Now()
	for _, u := range i.registry.Snapshot().All() {
		load := u.Load()
		reported := operator.Upstream{
			ID: u.ID, Kind: string(u.Kind), Pool: u.Pool, Address: u.Address, State: string(u.State()),
			Running: int(load.RunningRequests), Waiting: int(load.WaitingRequests), WaitingPrefillTokens: load.WaitingPrefillTokens,
			KVUsedTokens: load.KVUsedTokens, KVCapacityTokens: load.KVCapacityTokens, InFlight: int(u.Running()),
		}
		if load.At != 0 {
			reported.ReportAge = now - load.At
		}
		result.Upstreams = append(result.Upstreams, reported)
	}
	return result
}
