package peer

import (
	"testing"

	"pgregory.net/rapid"
)

// Malformed packed data from a faulty peer must give an error or a partial result, never a panic or a
// position outside of the list.
func TestMalformedPackedData(t *testing.T) {
	own := newObservationSet([]Observation{{ID: "a", At: 10, State: "up"}, {ID: "b", At: 20, State: "down"}})
	valid := append(own.digest(), own.packLoads([]int{0, 1})...)
	rapid.Check(t, func(r *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(r, "data")
		if rapid.Bool().Draw(r, "mutated") {
			data = append(valid[:rapid.IntRange(0, len(valid)).Draw(r, "length"):len(valid)], data...)
		}
		_, _ = own.compare(data)
		if updated, _ := own.applyLoads(data); len(updated) > len(data) {
			r.Errorf("%d updates from %d bytes", len(updated), len(data))
		}
		positions, _ := unpackPositions(data, len(own.observations))
		for _, p := range positions {
			if p < 0 || p >= len(own.observations) {
				r.Errorf("position %d of %d", p, len(own.observations))
			}
		}
	})
}
