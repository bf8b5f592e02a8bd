package peer

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// In steady operation each upstream's load changes every second, so loads are most of the traffic
// between instances. An exchange therefore starts with a digest (key and time of each observation),
// and only observations that are newer on one side are sent. When both sides have the same key, which
// covers everything but the time and the changing load values, a packed load of about 20 bytes replaces the full record.

// keyBytes is the encoded size of a key. With 290 upstreams the probability that two keys collide is
// 4e-8; a collision assigns one load report to the wrong upstream until the next report.
const keyBytes = 5

// key is a hash of all fields of an observation except the time and the values that change with the load.
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

// observationSet is a list of observations with an index by key.
type observationSet struct {
	observations []Observation
	keys         []key
	indexes      map[key]int
	latest       clock.Millis // the latest At, the base of packed ages
}

func newObservationSet(observations []Observation) *observationSet {
	set := &observationSet{observations: observations, keys: make([]key, len(observations)), indexes: make(map[key]int, len(observations))}
	var scratch []byte
	for i := range observations {
		set.keys[i], scratch = observations[i].key(scratch)
		set.indexes[set.keys[i]] = i
		set.latest = max(set.latest, observations[i].At)
	}
	return set
}

// digest packs the keys and times: the base time, then the key and age of each observation.
func (s *observationSet) digest() []byte {
	b := make([]byte, 0, 10+len(s.observations)*(keyBytes+3))
	b = binary.AppendUvarint(b, uint64(s.latest))
	for i := range s.observations {
		b = appendKey(b, s.keys[i])
		b = binary.AppendUvarint(b, uint64(s.latest-s.observations[i].At))
	}
	return b
}

// difference is what each side of an exchange has to send. Positions are indexes into the compared digest.
type difference struct {
	fullObservations []Observation // observations whose key the other side lacks
	loads            []byte        // packed loads that are newer here
	wantObservations []byte        // packed positions of the observations whose key is unknown here
	wantLoads        []byte        // packed positions of the observations whose load is newer on the other side
}

// compare compares the digest of the other side with the observations of this side.
func (s *observationSet) compare(digest []byte) (difference, error) {
	var d difference
	var wantObservations, wantLoads, loads []int
	r := reader{data: digest}
	base := clock.Millis(r.uvarint())
	received := make(map[key]struct{}, len(s.observations))
	for position := 0; len(r.data) > 0 && r.err == nil; position++ {
		id, at := r.key(), base-clock.Millis(r.uvarint())
		received[id] = struct{}{}
		i, ok := s.indexes[id]
		switch {
		case !ok:
			wantObservations = append(wantObservations, position)
		case s.observations[i].At > at:
			loads = append(loads, i)
		case s.observations[i].At < at:
			wantLoads = append(wantLoads, position)
		}
	}
	for i := range s.observations {
		if _, ok := received[s.keys[i]]; !ok {
			d.fullObservations = append(d.fullObservations, s.observations[i])
		}
	}
	d.wantObservations, d.wantLoads, d.loads = packPositions(wantObservations), packPositions(wantLoads), s.packLoads(loads)
	return d, r.err
}

// answer returns the observations and packed loads at the positions in the digest of s that the other side
// requested.
func (s *observationSet) answer(wantObservations, wantLoads []byte) (fullObservations []Observation, loads []byte, err error) {
	positions, err := unpackPositions(wantObservations, len(s.observations))
	if err != nil {
		return nil, nil, err
	}
	for _, i := range positions {
		fullObservations = append(fullObservations, s.observations[i])
	}
	positions, err = unpackPositions(wantLoads, len(s.observations))
	if err != nil {
		return nil, nil, err
	}
	return fullObservations, s.packLoads(positions), nil
}

// packLoads packs the loads of the observations at indexes: the base time, then the key, age and values of each.
func (s *observationSet) packLoads(indexes []int) []byte {
	if len(indexes) == 0 {
		return nil
	}
	b := binary.AppendUvarint(make([]byte, 0, 10+len(indexes)*24), uint64(s.latest))
	for _, i := range indexes {
		o := &s.observations[i]
		b = appendKey(b, s.keys[i])
		b = binary.AppendUvarint(b, uint64(s.latest-o.At))
		for _, v := range o.Load.values() {
			b = binary.AppendUvarint(b, uint64(max(v, 0)))
		}
	}
	return b
}

// applyLoads returns updated copies of the observations for which loads holds a newer load.
func (s *observationSet) applyLoads(loads []byte) ([]Observation, error) {
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
		if i, ok := s.indexes[id]; ok && r.err == nil && at > s.observations[i].At {
			o := s.observations[i]
			o.At = at
			o.Load.setValues(values)
			updated = append(updated, o)
		}
	}
	return updated, r.err
}

// loadValues is the number of values of a packed load. The KV capacity does not change with the load and is part of the key.
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

// packPositions packs ascending positions as differences, most of which take one byte.
func packPositions(positions []int) []byte {
	var b []byte
	last := -1
	for _, p := range positions {
		b = binary.AppendUvarint(b, uint64(p-last))
		last = p
	}
	return b
}

// unpackPositions is the inverse of packPositions. It rejects positions outside of a list of the given length.
func unpackPositions(packed []byte, length int) ([]int, error) {
	var positions []int
	last := -1
	for r := (reader{data: packed}); len(r.data) > 0; {
		distance := r.uvarint()
		if r.err != nil {
			return nil, r.err
		}
		if distance == 0 || distance >= uint64(length-last) {
			return nil, errPositionOutOfRange
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
	errTruncated          = errors.New("packed data ends within a value")
	errPositionOutOfRange = errors.New("packed position outside of the digest")
)

// reader reads packed data and keeps the first error.
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
