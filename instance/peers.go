package instance

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/membership"
	"github.com/poplarwinch/poplarwinch/peer"
	"github.com/poplarwinch/poplarwinch/quarantine"
	"github.com/poplarwinch/poplarwinch/settings"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// ownersPerKey is the number of instances that probe and sweep each upstream, and that read the manifest's row
	// often. The second one covers the time until the failure of the first is detected.
	ownersPerKey = 2
	// maxSampledPeers is the number of peers that one lookup of a manifest asks.
	maxSampledPeers = 3

	// noticeTimeout bounds a notice. A peer that does not answer in time gets the content with the next exchange.
	noticeTimeout = 500 * time.Millisecond

	// suspectNoticeInterval is the least time between two notices of suspects that were cleared.
	suspectNoticeInterval clock.Millis = 100

	// maxNoticeSuspects bounds the suspects of a notice. Peers get the others with the next exchange.
	maxNoticeSuspects = 512
	// maxSuspects bounds the suspects that are kept, and so the size of an exchange with a peer that knows others.
	maxSuspects = 4096

	// manifestKey is the ownership key of reading the manifest's row.
	manifestKey = "manifest-row"
)

// initPeers creates the membership and the endpoint for calls between instances.
func (i *Instance) initPeers() error {
	var seeds []membership.Candidate
	for _, s := range i.settings.Peers.Seeds {
		seeds = append(seeds, membership.Candidate{Address: s.String()})
	}
	i.members = membership.New(membership.WithSelf(i.self()), membership.WithClock(i.clock), membership.WithSeeds(seeds...))
	config, err := peerTLS(i.settings.TLS)
	if err != nil {
		return err
	}
	i.peers, err = peer.New(
		peer.WithSecret(i.settings.Peers.Secret.Reveal()), peer.WithClock(i.clock), peer.WithMembers(i.members), peer.WithTLS(config),
	)
	if err != nil {
		return fmt.Errorf("calls between instances: %w", err)
	}
	i.peers.Observations = func() []peer.Observation {
		observations, _ := i.registry.Changes(0)
		return toPeers(observations)
	}
	i.peers.MergeObservations = func(observations []peer.Observation) { i.registry.Merge(fromPeers(observations)) }
	i.peers.Suspects = func() []peer.Suspect { return suspectsToPeers(i.quarantine.Suspects()) }
	i.peers.MergeSuspects = func(suspects []peer.Suspect) { i.quarantine.Merge(suspectsFromPeers(suspects)) }
	i.peers.OnPeerVersion = func(ctx context.Context, version uint64, digest string) {
		i.store.ConsiderPeerVersion(ctx, manifest.Version(version), digest)
	}
	i.peers.ServeManifest = i.serveManifest
	return nil
}

// peerTLS returns the TLS configuration for calls between instances, or nil for cleartext.
func peerTLS(s settings.TLS) (*tls.Config, error) {
	if s.PeerCertFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.PeerCertFile, s.PeerKeyFile)
	if err != nil {
		return nil, fmt.Errorf("load the certificate %s: %w", s.PeerCertFile, err)
	}
	authority, err := os.ReadFile(s.PeerCAFile)
	if err != nil {
		return nil, fmt.Errorf("load the CA certificate %s: %w", s.PeerCAFile, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("no CA certificate in %s; write PEM certificates to it", s.PeerCAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// allInstances returns the number of live instances of all failure domains, assumed to be of the same size as this one.
func (i *Instance) allInstances() int {
	return i.instances() * (1 + len(i.members.Snapshot().Contacts))
}

// instances returns the number of live instances that share the engines of the failure domain, at least 1.
func (i *Instance) instances() int { return max(1, len(i.members.Snapshot().Live)) }

// readsManifest reports whether this instance is one of the ownersPerKey that read the manifest's row often. Others take over as soon as
// those are suspected of having failed: until they are known to be dead, a change would be in force nowhere for too long.
func (i *Instance) readsManifest() bool {
	return i.members.Snapshot().ShouldOwn(manifestKey, ownersPerKey)
}

// announceVersion notifies the peers in this failure domain of a new manifest version. The contacts in other domains get
// it with the next exchange.
func (i *Instance) announceVersion(ctx context.Context, version manifest.Version, digest string) {
	i.members.Announce(uint64(version), digest)
	if err := i.peers.Notify(ctx, peer.Notice{ManifestVersion: uint64(version), ManifestDigest: digest}); err != nil {
		i.log.WithError(err).Info("notice of a manifest version not delivered to all peers; the others get it with the next exchange")
	}
}

// onManifestActivated publishes the version that this instance runs.
func (i *Instance) onManifestActivated(active *manifest.Index) {
	i.members.Announce(uint64(active.Version), active.Digest)
}

// onUpstreamDied marks the requests that ran on a crashed upstream as suspects. It returns once the peers know them or
// noticeTimeout is over, because the caller of a crashing request may repeat it through any of them.
func (i *Instance) onUpstreamDied(p upstream.EndedProcess) {
	id := p.ID
	suspects := i.quarantine.RecordDeath(id, bootNumber(p.BootID))
	i.log.WithField("upstream", string(id)).WithField("suspects", len(suspects)).WithField("evicted-suspects", i.quarantine.Evicted()).
		Warn("upstream process ended")
	if u, ok := i.registry.Snapshot().Lookup(id); ok {
		i.router.Prefixes().Forget(u)
	}
	if len(suspects) > 0 {
		i.notify(peer.Notice{Suspects: suspectsToPeers(mostSpecific(suspects, maxNoticeSuspects))})
	}
}

// bootNumber returns a number for the boot id of a process, or zero if it is empty.
func bootNumber(bootID string) int64 {
	if bootID == "" {
		return 0
	}
	return int64(xxhash.Sum64String(bootID)>>1 | 1)
}

// mostSpecific returns at most limit suspects, whole requests first: the caller of one may repeat it at once.
func mostSpecific(suspects []quarantine.Suspect, limit int) []quarantine.Suspect {
	slices.SortStableFunc(suspects, func(a, b quarantine.Suspect) int { return cmp.Compare(a.Position, b.Position) })
	return suspects[:min(len(suspects), limit)]
}

// scheduleSuspectNotice lets the peers be told soon of suspects that were cleared here, so that they don't block a message which was
// answered.
func (i *Instance) scheduleSuspectNotice() {
	select {
	case i.suspectsChanged <- struct{}{}:
	default:
	}
}

// runSuspectNotices sends the changes of suspects to the peers, at most one notice in each suspectNoticeInterval, until ctx ends.
func (i *Instance) runSuspectNotices(ctx context.Context) {
	for {
		select {
		case <-i.suspectsChanged:
		case <-ctx.Done():
			return
		}
		i.notify(peer.Notice{Suspects: suspectsToPeers(i.quarantine.Report())})
		if i.clock.Sleep(ctx, suspectNoticeInterval) != nil {
			return
		}
	}
}

// onStateChanged notifies the peers at once of an upstream that a probe found up or down. onUpstreamsLeaving does so
// for upstreams that are leaving.
func (i *Instance) onStateChanged(o upstream.Observation) {
	i.log.WithField("upstream", string(o.ID)).WithField("state", string(o.State)).Info("upstream state changed")
	if o.State != upstream.StateLeaving {
		i.loops.Go(func() { i.notify(peer.Notice{Observations: toPeers([]upstream.Observation{o})}) })
	}
}

// onUpstreamsLeaving notifies the peers at once of upstreams that started to leave.
func (i *Instance) onUpstreamsLeaving(observations []upstream.Observation) {
	i.loops.Go(func() { i.notify(peer.Notice{Observations: toPeers(observations)}) })
}

// notify sends a notice to the peers, within noticeTimeout.
func (i *Instance) notify(n peer.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if err := i.peers.Notify(ctx, n); err != nil {
		i.log.WithError(err).Info("notice not delivered to all peers; the others get it with the next exchange")
	}
}

// serveManifest answers a peer's query for the active manifest with its record and the requested sections.
func (i *Instance) serveManifest(_ context.Context, query peer.ManifestQuery) (peer.ManifestPart, error) {
	record, ok := i.store.Record()
	if !ok || query.Version > uint64(record.Version) {
		return peer.ManifestPart{}, &poplarwinch.Error{
			Kind: poplarwinch.KindNotFound, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("version %d is not known here", query.Version), Remedy: "ask another peer or the table",
		}
	}
	body, err := record.Encode()
	if err != nil {
		return peer.ManifestPart{}, fmt.Errorf("encode the record: %w", err)
	}
	part := peer.ManifestPart{Version: uint64(record.Version), Digest: record.Digest, Record: body}
	for _, digest := range query.Want {
		if data, ok := i.store.Section(digest); ok {
			part.Sections = append(part.Sections, peer.Section{Digest: digest, Data: data})
		}
	}
	return part, nil
}

// configurationPeers adapts the peers to the interface of the configuration store.
func (i *Instance) configurationPeers() configuration.Peers {
	return configuration.Peers{Records: i.peerRecords, Record: i.peerRecord, Sections: i.peerSections}
}

// samplePeers returns up to maxSampledPeers peers at random, from this failure domain and the contacts in others.
func (i *Instance) samplePeers() []membership.Member {
	view := i.members.Snapshot()
	var peers []membership.Member
	for _, m := range view.Live {
		if m.ID != view.Self.ID {
			peers = append(peers, m)
		}
	}
	for _, contacts := range view.Contacts {
		peers = append(peers, contacts...)
	}
	rand.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(len(peers), maxSampledPeers)]
}

// fetchManifest queries a peer and decodes the record of its active manifest.
func (i *Instance) fetchManifest(ctx context.Context, m membership.Member, query peer.ManifestQuery) (configuration.Record, peer.ManifestPart, error) {
	part, err := i.peers.Manifest(ctx, m, query)
	if err != nil {
		return configuration.Record{}, part, err
	}
	record, err := configuration.DecodeRecord(part.Record)
	return record, part, err
}

// peerRecords returns the active records of up to maxSampledPeers peers.
func (i *Instance) peerRecords(ctx context.Context) ([]configuration.Record, error) {
	var records []configuration.Record
	var errs []error
	for _, m := range i.samplePeers() {
		record, _, err := i.fetchManifest(ctx, m, peer.ManifestQuery{})
		var apiError *poplarwinch.Error
		switch {
		case err == nil:
			records = append(records, record)
		case errors.As(err, &apiError) && apiError.Kind == poplarwinch.KindNotFound:
			// The peer answered that it has no manifest either. That is a valid result, so the failures of peers asked
			// before it are dropped.
			errs = nil
		default:
			errs = append(errs, err)
		}
	}
	if len(records) > 0 {
		return records, nil
	}
	return nil, errors.Join(errs...)
}

// peerRecord queries peers until one has the version or a later one.
func (i *Instance) peerRecord(ctx context.Context, version manifest.Version, _ string) (configuration.Record, error) {
	lastErr := configuration.ErrNotFound
	for _, m := range i.samplePeers() {
		record, _, err := i.fetchManifest(ctx, m, peer.ManifestQuery{Version: uint64(version)})
		if err == nil && record.Version >= version {
			return record, nil
		}
		if err != nil {
			lastErr = err
		}
	}
	return configuration.Record{}, lastErr
}

// peerSections collects sections from peers until none is missing.
func (i *Instance) peerSections(ctx context.Context, digests []string) (map[string][]byte, error) {
	found := map[string][]byte{}
	missing := digests
	for _, m := range i.samplePeers() {
		if len(missing) == 0 {
			break
		}
		_, part, err := i.fetchManifest(ctx, m, peer.ManifestQuery{Want: missing})
		if err != nil {
			continue
		}
		for _, s := range part.Sections {
			found[s.Digest] = s.Data
		}
		var stillMissing []string
		for _, digest := range missing {
			if _, ok := found[digest]; !ok {
				stillMissing = append(stillMissing, digest)
			}
		}
		missing = stillMissing
	}
	return found, nil
}
