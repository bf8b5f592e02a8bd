package instance

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/manifest"
	"github.com/poplarwinch/poplarwinch/membership"
	"github.com/poplarwinch/poplarwinch/peer"
	"github.com/poplarwinch/poplarwinch/settings"
	"github.com/poplarwinch/poplarwinch/upstream"
)

const (
	// watchers is the number of instances that probe each upstream, and that read the manifest's row often. The second
	// one covers the time until the death of the first is noticed.
	watchers = 2
	// askedPeers bounds the peers that are asked for a manifest.
	askedPeers = 3

	// noticeTimeout bounds a notice; a peer that does not answer in time learns the news by gossip.
	noticeTimeout = 500 * time.Millisecond

	manifestDuty = "manifest-row"
)

// join creates the membership and the calls between instances.
func (i *Instance) join() error {
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
	i.peers.OfferVersion = func(ctx context.Context, version uint64, digest string) {
		i.store.Offer(ctx, manifest.Version(version), digest)
	}
	i.peers.ServeManifest = i.serveManifest
	return nil
}

// peerTLS returns the configuration for calls between instances, or nil for cleartext.
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
		return nil, fmt.Errorf("load the authority %s: %w", s.PeerCAFile, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("%s holds no certificate; write PEM certificates to it", s.PeerCAFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// instances returns the number of live instances that share the engines of the failure domain.
func (i *Instance) instances() int { return max(1, len(i.members.Snapshot().Live)) }

// readsManifest reports whether this instance is one of those that read the manifest's row often.
func (i *Instance) readsManifest() bool { return i.members.Snapshot().Owns(manifestDuty, watchers) }

// announce tells the peers of the domain and the contacts in other domains about a new manifest version.
func (i *Instance) announce(ctx context.Context, version manifest.Version, digest string) {
	i.members.Announce(uint64(version), digest)
	if err := i.peers.Notify(ctx, peer.Notice{ManifestVersion: uint64(version), ManifestDigest: digest}); err != nil {
		i.log.WithError(err).Info("some peers missed the notice of a manifest; they learn it from the next exchange")
	}
}

// activated notes the version that this instance runs.
func (i *Instance) activated(x *manifest.Index) { i.members.Announce(uint64(x.Version), x.Digest) }

// died makes the requests that ran on an upstream suspects, and returns once the peers know or time is up: the caller of
// a crashing request may send it again through any of them.
func (i *Instance) died(id poplarwinch.UpstreamID) {
	suspects := i.quarantine.Died(id)
	i.log.WithField("upstream", string(id)).WithField("suspects", len(suspects)).Warn("upstream process ended")
	if u, ok := i.registry.Snapshot().Lookup(id); ok {
		i.router.Prefixes().Forget(u)
	}
	if len(suspects) > 0 {
		i.notify(peer.Notice{Suspects: suspectsToPeers(suspects)})
	}
}

// changed tells the peers at once about an upstream that a probe found up or down.
func (i *Instance) changed(o upstream.Observation) {
	i.log.WithField("upstream", string(o.ID)).WithField("state", string(o.State)).Info("upstream changed its state")
	if o.State != upstream.StateLeaving {
		i.loops.Go(func() { i.notify(peer.Notice{Observations: toPeers([]upstream.Observation{o})}) })
	}
}

// leaving tells the peers at once about upstreams that began to leave.
func (i *Instance) leaving(observations []upstream.Observation) {
	i.loops.Go(func() { i.notify(peer.Notice{Observations: toPeers(observations)}) })
}

// notify sends a notice to all live peers.
func (i *Instance) notify(n peer.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	if err := i.peers.Notify(ctx, n); err != nil {
		i.log.WithError(err).Info("some peers missed a notice; they learn it from the next exchange")
	}
}

// serveManifest answers a peer that asks for the active manifest.
func (i *Instance) serveManifest(_ context.Context, q peer.ManifestQuery) (peer.ManifestPart, error) {
	record, ok := i.store.Record()
	if !ok || q.Version > uint64(record.Version) {
		return peer.ManifestPart{}, &poplarwinch.Error{
			Kind: poplarwinch.KindNotFound, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("version %d is not known here", q.Version), Remedy: "ask another peer or the table",
		}
	}
	body, err := record.Encode()
	if err != nil {
		return peer.ManifestPart{}, fmt.Errorf("encode the record: %w", err)
	}
	part := peer.ManifestPart{Version: uint64(record.Version), Digest: record.Digest, Record: body}
	for _, digest := range q.Want {
		if data, ok := i.store.Section(digest); ok {
			part.Sections = append(part.Sections, peer.Section{Digest: digest, Data: data})
		}
	}
	return part, nil
}

// configurationPeers connects the configuration store to the peers.
func (i *Instance) configurationPeers() configuration.Peers {
	return configuration.Peers{Records: i.peerRecords, Record: i.peerRecord, Sections: i.peerSections}
}

// someone returns a few members in random order: those of the domain and contacts in others.
func (i *Instance) someone() []membership.Member {
	v := i.members.Snapshot()
	var list []membership.Member
	for _, m := range v.Live {
		if m.ID != v.Self.ID {
			list = append(list, m)
		}
	}
	for _, contacts := range v.Contacts {
		list = append(list, contacts...)
	}
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	return list[:min(len(list), askedPeers)]
}

func (i *Instance) ask(ctx context.Context, m membership.Member, q peer.ManifestQuery) (configuration.Record, peer.ManifestPart, error) {
	part, err := i.peers.Manifest(ctx, m, q)
	if err != nil {
		return configuration.Record{}, part, err
	}
	record, err := configuration.DecodeRecord(part.Record)
	return record, part, err
}

// peerRecords returns the active records of a few peers.
func (i *Instance) peerRecords(ctx context.Context) ([]configuration.Record, error) {
	var records []configuration.Record
	var failures []error
	for _, m := range i.someone() {
		record, _, err := i.ask(ctx, m, peer.ManifestQuery{})
		var problem *poplarwinch.Error
		switch {
		case err == nil:
			records = append(records, record)
		case errors.As(err, &problem) && problem.Kind == poplarwinch.KindNotFound:
			// The peer answers and has no manifest either.
			failures = nil
		default:
			failures = append(failures, err)
		}
	}
	if len(records) > 0 {
		return records, nil
	}
	return nil, errors.Join(failures...)
}

// peerRecord asks peers until one has the version or a later one.
func (i *Instance) peerRecord(ctx context.Context, version manifest.Version, _ string) (configuration.Record, error) {
	failure := configuration.ErrNotFound
	for _, m := range i.someone() {
		record, _, err := i.ask(ctx, m, peer.ManifestQuery{Version: uint64(version)})
		if err == nil && record.Version >= version {
			return record, nil
		}
		if err != nil {
			failure = err
		}
	}
	return configuration.Record{}, failure
}

// peerSections collects sections from peers until none is missing.
func (i *Instance) peerSections(ctx context.Context, digests []string) (map[string][]byte, error) {
	found := map[string][]byte{}
	want := digests
	for _, m := range i.someone() {
		if len(want) == 0 {
			break
		}
		_, part, err := i.ask(ctx, m, peer.ManifestQuery{Want: want})
		if err != nil {
			continue
		}
		for _, s := range part.Sections {
			found[s.Digest] = s.Data
		}
		var missing []string
		for _, digest := range want {
			if _, ok := found[digest]; !ok {
				missing = append(missing, digest)
			}
		}
		want = missing
	}
	return found, nil
}
