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
// knows all but the load, which the key shows, a packed load of about 20 bytes replaces the
// whole record.

// keyBytes is the size of a key. With 290 upstreams two keys collide with a probability of
// 4e-8; a collision misplaces one load report until the next one.
const keyBytes = 5

// key identifies an upstream and everything in its observation but the time and what changes with the load.
type key uint64

func (o *Observation) key(scratch []byte) (key, []byte) {
	b := scratch[:0]
	b = appendText(b, string(o.ID), o.State, o.BootID, o.Role)
	b = binary.AppendVarint(b, int64(o.Load.KVCapacityTokens))
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
	base clock.Millis // the latest time
}

func newKeyed(list []Observation) *keyed {
	k := &keyed{list: list, keys: make([]key, len(list)), by: make(map[key]int, len(list))}
	var scratch []byte
	for i := range list {
		k.keys[i], scratch = list[i].key(scratch)
		k.by[k.keys[i]] = i
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

// difference is what two sides of an exchange have to send. Positions refer to the digest.
type difference struct {
	whole []Observation // observations the other side does not know in this form
	loads []byte        // packed loads of those it knows
	want  []byte        // packed positions of what the other side has in a form not known here
	fresh []byte        // packed positions of those whose load it has newer
}

// compare compares a digest of the other side with the own observations.
func (k *keyed) compare(digest []byte) (difference, error) {
	var d difference
	var want, fresh, loads []int
	r := reader{data: digest}
	base := clock.Millis(r.uvarint())
	theirs := make(map[key]struct{}, len(k.list))
	for position := 0; len(r.data) > 0 && r.err == nil; position++ {
		id, at := r.key(), base-clock.Millis(r.uvarint())
		theirs[id] = struct{}{}
		i, ok := k.by[id]
		switch {
		case !ok:
			want = append(want, position)
		case k.list[i].At > at:
			loads = append(loads, i)
		case k.list[i].At < at:
			fresh = append(fresh, position)
		}
	}
	for i := range k.list {
		if _, ok := theirs[k.keys[i]]; !ok {
			d.whole = append(d.whole, k.list[i])
		}
	}
	d.want, d.fresh, d.loads = packPositions(want), packPositions(fresh), k.packLoads(loads)
	return d, r.err
}

// answer returns what the other side asked for after it compared the digest of k.
func (k *keyed) answer(want, fresh []byte) (whole []Observation, loads []byte, err error) {
	positions, err := unpackPositions(want, len(k.list))
	if err != nil {
		return nil, nil, err
	}
	for _, i := range positions {
		whole = append(whole, k.list[i])
	}
	positions, err = unpackPositions(fresh, len(k.list))
	if err != nil {
		return nil, nil, err
	}
	return whole, k.packLoads(positions), nil
}

// packLoads packs the loads of some observations: the base time, then key, age and values of each.
func (k *keyed) packLoads(indexes []int) []byte {
	if len(indexes) == 0 {
		return nil
	}
	b := binary.AppendUvarint(make([]byte, 0, 10+len(indexes)*24), uint64(k.base))
	for _, i := range indexes {
		o := &k.list[i]
		b = appendKey(b, k.keys[i])
		b = binary.AppendUvarint(b, uint64(k.base-o.At))
		for _, v := range o.Load.values() {
			b = binary.AppendUvarint(b, uint64(max(v, 0)))
		}
	}
	return b
}

// apply returns the known observations that packed loads update.
func (k *keyed) apply(loads []byte) ([]Observation, error) {
	if len(loads) == 0 {
		return nil, nil
	}
	var updated []Observation
	r := reader{data: loads}
	base := clock.Millis(r.uvarint())
	for len(r.data) > 0 && r.err == nil {
		id, at := r.key(), base-clock.Millis(r.uvarint())
		var values [loadValues]int64
		for i := range values {
			values[i] = int64(r.uvarint())
		}
		if i, ok := k.by[id]; ok && r.err == nil && at > k.list[i].At {
			o := k.list[i]
			o.At = at
			o.Load.setValues(values)
			updated = append(updated, o)
		}
	}
	return updated, r.err
}

// loadValues is the number of values of a packed load. The capacity is part of the key, as it does not change.
const loadValues = 6

func (l *Load) values() [loadValues]int64 {
	return [...]int64{
		int64(l.Running), int64(l.Waiting), int64(l.WaitingPrefillTokens), int64(l.KVUsedTokens),
		l.PrefillTokensPerSec, int64(l.ReportAge),
	}
}

func (l *Load) setValues(v [loadValues]int64) {
	l.Running, l.Waiting = int(v[0]), int(v[1])
	l.WaitingPrefillTokens, l.KVUsedTokens = poplarwinch.Tokens(v[2]), poplarwinch.Tokens(v[3])
	l.PrefillTokensPerSec, l.ReportAge = v[4], clock.Millis(v[5])
}

// packPositions packs ascending positions as distances, most of which take one byte.
func packPositions(positions []int) []byte {
	var b []byte
	last := -1
	for _, p := range positions {
		b = binary.AppendUvarint(b, uint64(p-last))
		last = p
	}
	return b
}

// unpackPositions rejects positions outside of a list of the given length.
func unpackPositions(packed []byte, length int) ([]int, error) {
	var positions []int
	last := -1
	for r := (reader{data: packed}); len(r.data) > 0; {
		distance := r.uvarint()
		if r.err != nil {
			return nil, r.err
		}
		if distance == 0 || distance >= uint64(length-last) {
			return nil, errPosition
		}
		last += int(distance)
		positions = append(positions, last)
	}
	return positions, nil
}

func appendKey(b []byte, k key) []byte {
	return append(b, byte(k>>32), byte(k>>24), byte(k>>16), byte(k>>8), byte(k))
}

var (
	errTruncated = errors.New("packed data ends within a value")
	errPosition  = errors.New("packed position outside of the digest")
)

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
