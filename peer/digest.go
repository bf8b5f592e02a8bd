package peer

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// In steady operation each upstream's load changes every second, so loads are most of the traffic
// between instances. An exchange therefore starts with a digest (key and time of each
// observation), and only observations that are newer on one side are sent. When the other side
// knows all but the load, which the key shows, a packed load of about 25 bytes replaces the
// whole record.

// keyBytes is the size of a key. With 290 upstreams two keys collide with a probability of
// 4e-8; a collision misplaces one load report until the next one.
const keyBytes = 5

// key identifies an upstream and everything in its observation but time and load.
type key uint64

func (o *Observation) key(scratch []byte) (key, []byte) {
	b := scratch[:0]
	b = appendText(b, string(o.ID), o.State, o.BootID, o.Role)
	for _, m := range o.Models {
		b = appendText(b, string(m.Name), m.Version)
		b = binary.AppendUvarint(b, uint64(len(m.Adapters)))
		for _, a := range m.Adapters {
			b = appendText(b, string(a.Name), a.Version)
		}
	}
	return key(xxhash.Sum64(b) >> (64 - 8*keyBytes)), b
}

func appendText(b []byte, texts ...string) []byte {
	for _, t := range texts {
		b = binary.AppendUvarint(b, uint64(len(t)))
		b = append(b, t...)
	}
	return b
}

// keyed is a set of observations by key.
type keyed struct {
	list []Observation
	keys []key
	by   map[key]int
	ids  map[poplarwinch.UpstreamID]int
	base clock.Millis // the latest time
}

func newKeyed(list []Observation) *keyed {
	k := &keyed{list: list, keys: make([]key, len(list)), by: make(map[key]int, len(list)), ids: make(map[poplarwinch.UpstreamID]int, len(list))}
	var scratch []byte
	for i := range list {
		k.keys[i], scratch = list[i].key(scratch)
		k.by[k.keys[i]] = i
		k.ids[list[i].ID] = i
		k.base = max(k.base, list[i].At)
	}
	return k
}

// digest is the packed form of keys and times: the base time, then key and age of each observation.
func (k *keyed) digest() []byte {
	b := make([]byte, 0, 10+len(k.list)*(keyBytes+3))
	b = binary.AppendUvarint(b, uint64(k.base))
	for i := range k.list {
		b = appendKey(b, k.keys[i])
		b = binary.AppendUvarint(b, uint64(k.base-k.list[i].At))
	}
	return b
}

// difference is what two sides of an exchange have to send.
type difference struct {
	whole []Observation // observations the other side does not know in this form
	loads []byte        // packed loads of those it knows
	want  []byte        // keys of what the other side has newer, in whole
	fresh []byte        // keys of those whose load it has newer
}

// compare compares a digest of the other side with the own observations.
func (k *keyed) compare(digest []byte) (difference, error) {
	var d difference
	r := reader{data: digest}
	base := clock.Millis(r.uvarint())
	theirs := make(map[key]struct{}, len(k.list))
	for len(r.data) > 0 && r.err == nil {
		id, at := r.key(), base-clock.Millis(r.uvarint())
		theirs[id] = struct{}{}
		i, ok := k.by[id]
		switch {
		case !ok:
			d.want = appendKey(d.want, id)
		case k.list[i].At > at:
			d.loads = k.appendLoad(d.loads, i)
		case k.list[i].At < at:
			d.fresh = appendKey(d.fresh, id)
		}
	}
	for i := range k.list {
		if _, ok := theirs[k.keys[i]]; !ok {
			d.whole = append(d.whole, k.list[i])
		}
	}
	return d, r.err
}

// answer returns what the other side asked for.
func (k *keyed) answer(want, fresh []byte) (whole []Observation, loads []byte, err error) {
	for r := (reader{data: want}); len(r.data) > 0; {
		if i, ok := k.by[r.key()]; ok {
			whole = append(whole, k.list[i])
		}
		if r.err != nil {
			return nil, nil, r.err
		}
	}
	for r := (reader{data: fresh}); len(r.data) > 0; {
		if i, ok := k.by[r.key()]; ok {
			loads = k.appendLoad(loads, i)
		}
		if r.err != nil {
			return nil, nil, r.err
		}
	}
	return whole, loads, nil
}

func (k *keyed) appendLoad(b []byte, i int) []byte {
	o := &k.list[i]
	b = appendKey(b, k.keys[i])
	b = binary.AppendUvarint(b, uint64(o.At))
	for _, v := range o.Load.values() {
		b = binary.AppendVarint(b, v)
	}
	return b
}

// apply returns the known observations that packed loads update.
func (k *keyed) apply(loads []byte) ([]Observation, error) {
	var updated []Observation
	r := reader{data: loads}
	for len(r.data) > 0 && r.err == nil {
		id, at := r.key(), clock.Millis(r.uvarint())
		var values [loadValues]int64
		for i := range values {
			values[i] = r.varint()
		}
		if i, ok := k.by[id]; ok && r.err == nil && at > k.list[i].At {
			o := k.list[i]
			o.At, o.Load = at, newLoad(values)
			updated = append(updated, o)
		}
	}
	return updated, r.err
}

const loadValues = 7

func (l *Load) values() [loadValues]int64 {
	return [...]int64{
		int64(l.Running), int64(l.Waiting), int64(l.WaitingPrefillTokens), int64(l.KVUsedTokens),
		int64(l.KVCapacityTokens), l.PrefillTokensPerSec, int64(l.ReportAge),
	}
}

func newLoad(v [loadValues]int64) Load {
	return Load{
		int(v[0]), int(v[1]), poplarwinch.Tokens(v[2]), poplarwinch.Tokens(v[3]),
		poplarwinch.Tokens(v[4]), v[5], clock.Millis(v[6]),
	}
}

func appendKey(b []byte, k key) []byte {
	return append(b, byte(k>>32), byte(k>>24), byte(k>>16), byte(k>>8), byte(k))
}

var errTruncated = errors.New("packed data ends within a value")

// reader reads packed data and remembers the first error.
type reader struct {
	data []byte
	err  error
}

func (r *reader) fail() {
	r.data, r.err = nil, errTruncated
}

func (r *reader) key() key {
	if len(r.data) < keyBytes {
		r.fail()
		return 0
	}
	var k key
	for _, b := range r.data[:keyBytes] {
		k = k<<8 | key(b)
	}
	r.data = r.data[keyBytes:]
	return k
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return v
}
