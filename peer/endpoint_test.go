package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/membership"
	"github.com/poplarwinch/poplarwinch/peer"
)

// A probe must end within its deadline under each fault, with the error kind that has the fitting
// remedy. A fault of a single connection must not make a healthy peer appear dead.
func TestProbeUnderFaults(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		options []peer.Option // of the prober
		target  func(t *testing.T, y *instance, x *instance) string
		want    poplarwinch.Kind // empty: the probe succeeds
	}{
		"healthy": {target: func(_ *testing.T, y, _ *instance) string { return y.self.Address }},
		"wrong secret": {
			options: []peer.Option{peer.WithSecret("another secret")},
			target:  func(_ *testing.T, y, _ *instance) string { return y.self.Address },
			want:    poplarwinch.KindUnauthorized,
		},
		"connection refused": {
			target: func(t *testing.T, _, _ *instance) string {
				l := listen(t)
				l.Close()
				return l.Addr().String()
			},
			want: poplarwinch.KindUnavailable,
		},
		"open connection drops all data": {target: func(t *testing.T, y, x *instance) string {
			p := newProxy(t, y.self.Address)
			mustProbe(t, x, p.address())
			p.blackhole()
			return p.address()
		}},
		"open connection is closed": {target: func(t *testing.T, y, x *instance) string {
			p := newProxy(t, y.self.Address)
			mustProbe(t, x, p.address())
			p.closeConnections()
			return p.address()
		}},
		"peer accepts and never answers": {
			target: func(t *testing.T, _, _ *instance) string {
				l := listen(t)
				t.Cleanup(func() { l.Close() })
				return l.Addr().String()
			},
			want: poplarwinch.KindDeadlineExceeded,
		},
		"peer speaks another protocol": {
			target: func(t *testing.T, _, _ *instance) string {
				l := listen(t)
				server := &http.Server{Handler: http.NotFoundHandler()}
				go server.Serve(l)
				t.Cleanup(func() { server.Close() })
				return l.Addr().String()
			},
			want: poplarwinch.KindUnavailable,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x, y := newInstance(t, "x", "arima", c.options...), newInstance(t, "y", "arima")
			address := c.target(t, y, x)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			records, err := x.Probe(ctx, membership.Member{Address: address}, x.members.ProbeRecords("y"))
			if got := kind(err); got != c.want {
				t.Fatalf("Probe() = %v, want kind %q", err, c.want)
			}
			if err == nil && (len(records) != 1 || records[0] != y.self) {
				t.Errorf("Probe() = %+v, want the record of y", records)
			}
		})
	}
}

func mustProbe(t *testing.T, x *instance, address string) {
	t.Helper()
	if _, err := x.Probe(context.Background(), membership.Member{Address: address}, nil); err != nil {
		t.Fatal(err)
	}
}

func kind(err error) poplarwinch.Kind {
	var e *poplarwinch.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// A member that only the relay can reach must not become suspect.
func TestProbeViaReachesTheTarget(t *testing.T) {
	t.Parallel()
	x, via, y := newInstance(t, "x", "arima"), newInstance(t, "via", "arima"), newInstance(t, "y", "arima")
	records, err := x.ProbeVia(context.Background(), via.self, y.self)
	if err != nil || len(records) != 1 || records[0] != y.self {
		t.Fatalf("ProbeVia() = %+v, %v, want the record of y", records, err)
	}
	gone := listen(t)
	gone.Close()
	if _, err := x.ProbeVia(context.Background(), via.self, membership.Member{ID: "z", Address: gone.Addr().String()}); kind(err) != poplarwinch.KindUnavailable {
		t.Fatalf("ProbeVia() = %v for a stopped member, want kind unavailable", err)
	}
}

// A target that does not answer must not make the prober replace its healthy connection to the relay.
func TestProbeViaKeepsTheConnectionToTheRelay(t *testing.T) {
	t.Parallel()
	x, via := newInstance(t, "x", "arima"), newInstance(t, "via", "arima")
	silent, p := listen(t), newProxy(t, via.self.Address)
	defer silent.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := x.ProbeVia(ctx, membership.Member{Address: p.address()}, membership.Member{ID: "z", Address: silent.Addr().String()})
	if kind(err) != poplarwinch.KindUnavailable || p.accepted.Load() != 1 {
		t.Errorf("ProbeVia() = %v after %d connections, want kind unavailable and one connection", err, p.accepted.Load())
	}
}

// Malformed, oversized, unauthorized and unknown requests must be rejected before they allocate much
// memory or change data.
func TestRawRequestsAreRejected(t *testing.T) {
	t.Parallel()
	x := newInstance(t, "x", "arima")
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	for name, c := range map[string]struct {
		path, secret string
		body         []byte
		status       int
	}{
		"no secret":            {"Probe", "", []byte{0xa0}, http.StatusUnauthorized},
		"prefix of the secret": {"Probe", secret[:4], []byte{0xa0}, http.StatusUnauthorized},
		"not CBOR":             {"Probe", secret, []byte("\xff\xff"), http.StatusBadRequest},
		"huge array":           {"Probe", secret, []byte{0xa1, 0x01, 0x9a, 0xff, 0xff, 0xff, 0xff}, http.StatusBadRequest},
		"truncated digest":     {"Exchange", secret, []byte{0xa1, 0x02, 0x43, 0x01, 0x02, 0x03}, http.StatusBadRequest},
		"truncated loads":      {"Exchange", secret, []byte{0xa1, 0x06, 0x43, 0x01, 0x02, 0x03}, http.StatusBadRequest},
		"larger than the limit": {
			"Notice", secret, append([]byte{0xa1, 0x05, 0x7a, 0x01, 0x10, 0x00, 0x00}, make([]byte, 17<<20)...), http.StatusTooManyRequests,
		},
		"unknown procedure": {"Shutdown", secret, []byte{0xa0}, http.StatusNotFound},
	} {
		request, err := http.NewRequest(http.MethodPost, "http://"+x.self.Address+"/poplarwinch.peer/"+c.path, bytes.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Content-Type", "application/cbor")
		request.Header.Set("Authorization", "Bearer "+c.secret)
		response, err := client.Do(request)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		response.Body.Close()
		if response.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d", name, response.StatusCode, c.status)
		}
	}
	if len(x.members.Snapshot().Known) != 1 || x.received != 0 {
		t.Error("a rejected request changed data")
	}
}

// If unreachable peers blocked a notice, the other peers would keep sending work to a leaving upstream.
func TestNotifyReachesAllButSilentPeers(t *testing.T) {
	t.Parallel()
	x, y, z := newInstance(t, "x", "arima"), newInstance(t, "y", "arima"), newInstance(t, "z", "arima")
	gone := listen(t)
	gone.Close()
	x.members.Merge([]membership.Member{y.self, z.self, {ID: "gone", Address: gone.Addr().String(), FailureDomain: "arima", State: membership.StateAlive}})
	for i := range 40 {
		silent := listen(t)
		t.Cleanup(func() { silent.Close() })
		x.members.Merge([]membership.Member{{
			ID: poplarwinch.InstanceID(fmt.Sprintf("silent-%d", i)), Address: silent.Addr().String(), FailureDomain: "arima", State: membership.StateAlive,
		}})
	}
	suspect := peer.Suspect{Fingerprint: [16]byte{1}, Crashes: []peer.Crash{{Upstream: "engine-1", At: 5}, {Upstream: "engine-2", At: 6}}}
	err := x.Notify(context.Background(), peer.Notice{
		Observations: []peer.Observation{{ID: "engine-1", At: 7, State: "leaving"}}, Suspects: []peer.Suspect{suspect}, ManifestVersion: 3,
	})
	if kind(err) != poplarwinch.KindUnavailable {
		t.Errorf("Notify() = %v, want the failures of the unreachable peers", err)
	}
	for _, r := range []*instance{y, z} {
		if r.observations["engine-1"].State != "leaving" || !reflect.DeepEqual(r.suspects[suspect.Fingerprint], suspect) || r.offeredVersion != 3 {
			t.Errorf("%s has %+v, %+v, version %d", r.self.ID, r.observations, r.suspects, r.offeredVersion)
		}
	}
}

// A new instance must be able to load a whole manifest from a peer while the platform is unavailable.
func TestManifest(t *testing.T) {
	t.Parallel()
	x, y := newInstance(t, "x", "arima"), newInstance(t, "y", "arima")
	if _, err := x.Manifest(context.Background(), y.self, peer.ManifestQuery{}); kind(err) != poplarwinch.KindNotFound {
		t.Errorf("Manifest() = %v without a manifest, want kind not-found", err)
	}
	large := bytes.Repeat([]byte("x"), 2<<20)
	y.ServeManifest = func(_ context.Context, q peer.ManifestQuery) (peer.ManifestPart, error) {
		if q.Version != 4 {
			return peer.ManifestPart{}, &poplarwinch.Error{Kind: poplarwinch.KindNotFound}
		}
		part := peer.ManifestPart{Version: 4, Digest: "d", Record: []byte("record")}
		for _, want := range q.Want {
			if want == "b" {
				part.Sections = append(part.Sections, peer.Section{Digest: want, Data: large})
			}
		}
		return part, nil
	}
	part, err := x.Manifest(context.Background(), y.self, peer.ManifestQuery{Version: 4, Want: []string{"a", "b"}})
	if err != nil || part.Version != 4 || part.Digest != "d" || string(part.Record) != "record" || len(part.Sections) != 1 ||
		part.Sections[0].Digest != "b" || !bytes.Equal(part.Sections[0].Data, large) {
		t.Errorf("Manifest() = version %d, record %q, %d sections, %v", part.Version, part.Record, len(part.Sections), err)
	}
	if _, err := x.Manifest(context.Background(), y.self, peer.ManifestQuery{Version: 5}); kind(err) != poplarwinch.KindNotFound {
		t.Errorf("Manifest() = %v for an unknown version, want kind not-found", err)
	}
}

// Calls over TLS must work, and cleartext calls to a TLS endpoint must not.
func TestTLS(t *testing.T) {
	t.Parallel()
	config := newTLSConfig(t)
	x, y := newInstance(t, "x", "arima", peer.WithTLS(config)), newInstance(t, "y", "arima", peer.WithTLS(config))
	mustProbe(t, x, y.self.Address)
	plain := newInstance(t, "plain", "arima")
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if _, err := plain.Probe(ctx, y.self, nil); err == nil {
		t.Error("a cleartext call to a TLS endpoint succeeded")
	}
}
