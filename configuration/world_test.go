package configuration_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/poplarwinch/poplarwinch/configuration"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// instances is the number of instances in a world; the two lowest live ones of each group watch the table.
const instances = 5

const (
	requestTime = 5 * time.Millisecond
	replyTime   = 40 * time.Millisecond // times the instance number, so that replies overtake each other
)

var errTest = errors.New("simulated failure")

// world simulates a table, an object store and a network in virtual time.
type world struct {
	mutex       sync.Mutex
	row         *configuration.Row
	written     []configuration.Row // every row in the order of writes
	objects     map[string][]byte
	tableDown   bool
	objectsDown bool
	mute        bool            // peers send news but don't answer questions
	cut         [instances]bool // no access to the platform
	group       [instances]int  // instances with different groups don't reach each other
	viewed      [instances]int  // group by the membership view, which follows with a delay
	puts        []string        // faults of the next puts
	late        time.Duration
	nodes       [instances]*node
	pending     sync.WaitGroup
	violations  []string
	alarms      map[configuration.Alarm]int
	invalid     map[string]bool // digests that must never be active
}

type node struct {
	store  *configuration.Store
	cancel context.CancelFunc
	done   chan struct{}
	first  manifest.Version
	last   manifest.Version
}

func newWorld() *world {
	return &world{
		objects: map[string][]byte{}, alarms: map[configuration.Alarm]int{}, invalid: map[string]bool{},
	}
}

func (w *world) violate(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, values...))
}

// start replaces instance i by a fresh one.
func (w *world) start(ctx context.Context, i int) {
	w.stop(i)
	ctx, cancel := context.WithCancel(ctx)
	n := &node{cancel: cancel, done: make(chan struct{})}
	n.store = configuration.New(
		configuration.WithService("simulated"),
		configuration.WithTable(configuration.Table{
			Get: func(ctx context.Context, _ string) (configuration.Row, bool, error) { return w.get(ctx, i) },
			Put: func(ctx context.Context, row configuration.Row, c configuration.Condition) error {
				return w.put(ctx, i, row, c)
			},
		}),
		configuration.WithObjects(configuration.Objects{
			Get:    func(ctx context.Context, key string) ([]byte, error) { return w.object(ctx, i, key) },
			PutNew: func(ctx context.Context, key string, data []byte) error { return w.putNew(ctx, i, key, data) },
		}),
		configuration.WithPeers(configuration.Peers{
			Records: func(ctx context.Context) ([]configuration.Record, error) { return w.records(ctx, i) },
			Record: func(ctx context.Context, v manifest.Version, _ string) (configuration.Record, error) {
				return w.record(ctx, i, v)
			},
			Sections: func(_ context.Context, digests []string) (map[string][]byte, error) {
				return w.sections(i, digests), nil
			},
		}),
		configuration.WithWatching(func() bool { return w.watches(i) }),
		configuration.WithAnnounce(func(ctx context.Context, v manifest.Version, digest string) {
			for _, j := range w.reachable(i) {
				j.store.Offer(ctx, v, digest)
			}
		}),
		configuration.WithActivated(func(x *manifest.Index) { w.activated(i, n, x) }),
		configuration.WithCount(func(a configuration.Alarm) {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.alarms[a]++
		}),
	)
	w.mutex.Lock()
	w.nodes[i] = n
	w.mutex.Unlock()
	go func() {
		defer close(n.done)
		_ = n.store.Run(ctx)
	}()
}

func (w *world) stop(i int) {
	if n := w.nodes[i]; n != nil {
		n.cancel()
		<-n.done
	}
}

func (w *world) activated(i int, n *node, x *manifest.Index) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if x.Version <= n.last || w.invalid[x.Digest] || x.Manifest.Service != "simulated" {
		w.violations = append(w.violations, fmt.Sprintf("instance %d went from version %d to %d, digest %s", i, n.last, x.Version, x.Digest))
	}
	if n.first == 0 {
		n.first = x.Version
	}
	n.last = x.Version
}

func (w *world) isMute() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.mute
}

// reachable returns the other instances of i's group.
func (w *world) reachable(i int) []*node {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []*node
	for j, n := range w.nodes {
		if j != i && n != nil && w.group[i] == w.group[j] {
			list = append(list, n)
		}
	}
	return list
}

func (w *world) watches(i int) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	lower := 0
	for j := range i {
		if w.viewed[j] == w.viewed[i] {
			lower++
		}
	}
	return lower < 2
}

// platform waits until a request reaches the platform; a lost request ends with its context.
func (w *world) platform(ctx context.Context, i int, down *bool) error {
	time.Sleep(requestTime)
	w.mutex.Lock()
	lost, refused := w.cut[i], *down
	w.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if refused {
		return errTest
	}
	return nil
}

func (w *world) get(ctx context.Context, i int) (configuration.Row, bool, error) {
	if err := w.platform(ctx, i, &w.tableDown); err != nil {
		return configuration.Row{}, false, err
	}
	defer time.Sleep(time.Duration(i+1) * replyTime)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.row == nil {
		return configuration.Row{}, false, nil
	}
	return *w.row, true, nil
}

func (w *world) put(ctx context.Context, i int, row configuration.Row, c configuration.Condition) error {
	if err := w.platform(ctx, i, &w.tableDown); err != nil {
		return configuration.ErrNotWritten
	}
	w.mutex.Lock()
	fault, late := "", w.late
	if len(w.puts) > 0 {
		fault, w.puts = w.puts[0], w.puts[1:]
	}
	w.mutex.Unlock()
	switch fault {
	case "late-write":
		w.pending.Go(func() {
			time.Sleep(late)
			_ = w.apply(row, c)
		})
		return errTest
	case "lost-reply":
		_ = w.apply(row, c)
		return errTest
	case "not-written":
		return configuration.ErrNotWritten
	}
	defer time.Sleep(time.Duration(i+1) * replyTime)
	return w.apply(row, c)
}

func (w *world) apply(row configuration.Row, c configuration.Condition) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if c.Absent != (w.row == nil) || !c.Absent && w.row.Version != c.Version {
		return configuration.ErrConditionFailed
	}
	w.row = &row
	w.written = append(w.written, row)
	return nil
}

func (w *world) object(ctx context.Context, i int, key string) ([]byte, error) {
	if err := w.platform(ctx, i, &w.objectsDown); err != nil {
		return nil, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if body, ok := w.objects[key]; ok {
		return bytes.Clone(body), nil
	}
	return nil, configuration.ErrNotFound
}

func (w *world) putNew(ctx context.Context, i int, key string, data []byte) error {
	if err := w.platform(ctx, i, &w.objectsDown); err != nil {
		return err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if _, ok := w.objects[key]; ok {
		return configuration.ErrExists
	}
	w.objects[key] = bytes.Clone(data)
	return nil
}

func (w *world) records(ctx context.Context, i int) ([]configuration.Record, error) {
	var list []configuration.Record
	peers := w.reachable(i)
	if w.isMute() {
		peers = nil
	}
	for _, n := range peers {
		if r, ok := n.store.Record(); ok {
			list = append(list, r)
		}
	}
	if len(peers) == 0 {
		return nil, errTest
	}
	return list, ctx.Err()
}

func (w *world) record(ctx context.Context, i int, v manifest.Version) (configuration.Record, error) {
	list, _ := w.records(ctx, i)
	for _, r := range list {
		if r.Version >= v {
			return r, nil
		}
	}
	return configuration.Record{}, configuration.ErrNotFound
}

func (w *world) sections(i int, digests []string) map[string][]byte {
	found := map[string][]byte{}
	if w.isMute() {
		return found
	}
	for _, n := range w.reachable(i) {
		for _, digest := range digests {
			if body, ok := n.store.Section(digest); ok {
				found[digest] = body
			}
		}
	}
	return found
}

// gossip lets every instance hear from those it reaches once a second, until ctx ends. As in an exchange between real
// instances, a version is told once: an instance that fails to fetch it is not reminded.
func (w *world) gossip(ctx context.Context) {
	type pair struct{ from, to *node }
	told := map[pair]manifest.Version{}
	for ctx.Err() == nil {
		for i := range instances {
			for _, from := range w.reachable(i) {
				w.mutex.Lock()
				to := w.nodes[i]
				w.mutex.Unlock()
				news, digest := manifest.Version(0), ""
				if x := from.store.Active(); x != nil && told[pair{from, to}] != x.Version {
					news, digest = x.Version, x.Digest
					told[pair{from, to}] = news
				}
				to.store.Offer(ctx, news, digest)
			}
		}
		time.Sleep(time.Second)
	}
}

// corrupt writes a row that no commit made: garbage, or a record whose manifest fails validation.
func (w *world) corrupt(garbage bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.row == nil {
		return
	}
	row := configuration.Row{Key: "manifest", Version: w.row.Version + 1, Body: []byte(`{"version":`)}
	if !garbage {
		sections, _ := manifest.Split(&manifest.Manifest{Service: "simulated"})
		refs := manifest.Refs(sections)
		for _, s := range sections {
			w.objects["sections/"+s.Digest] = s.Body
		}
		r := configuration.Record{Version: manifest.Version(row.Version), Digest: manifest.Digest(refs), Sections: refs}
		row.Body, _ = r.Encode()
		w.invalid[r.Digest] = true
	}
	w.row = &row
}

// usable reports whether the table has a row from which an instance can get a valid manifest.
func (w *world) usable() bool {
	if w.row == nil {
		return false
	}
	r, err := configuration.DecodeRecord(w.row.Body)
	return err == nil && !w.invalid[r.Digest]
}

// contradict replaces the row by one of the same version with other content, as after a restore and a new commit.
func (w *world) contradict() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	m, _ := manifest.Parse(document("contradiction"))
	sections, _ := manifest.Split(m)
	refs := manifest.Refs(sections)
	for _, s := range sections {
		w.objects["sections/"+s.Digest] = s.Body
	}
	r := configuration.Record{Version: manifest.Version(w.row.Version), Digest: manifest.Digest(refs), Sections: refs}
	body, _ := r.Encode()
	w.row = &configuration.Row{Key: "manifest", Version: w.row.Version, Body: body}
	w.invalid[r.Digest] = true
}

// restore puts back the first row that was ever written.
func (w *world) restore() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.written) > 0 {
		row := w.written[0]
		w.row = &row
	}
}

// commits returns the ids of all commits that ever were in the table, with their versions.
func (w *world) commits() map[string]manifest.Version {
	ids := map[string]manifest.Version{}
	for _, row := range w.written {
		if r, err := configuration.DecodeRecord(row.Body); err == nil {
			for _, c := range r.Commits {
				ids[c.ID] = c.Version
			}
		}
	}
	return ids
}

func (w *world) sortedAlarms() []configuration.Alarm {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Sorted(maps.Keys(w.alarms))
}
