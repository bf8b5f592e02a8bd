package main

import (
	"fmt"
	"strconv"
	"strings"
)

// mix holds the weight of each prompt length class.
type mix struct {
	weights [len(classes)]float64
	total   float64
}

// UnmarshalText parses a list such as "1k=80,10k=18,100k=2".
func (m *mix) UnmarshalText(text []byte) error {
	*m = mix{}
	for part := range strings.SplitSeq(string(text), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		weight, err := strconv.ParseFloat(value, 64)
		if err != nil || weight < 0 {
			return fmt.Errorf("mix: %q is not CLASS=WEIGHT with a weight of at least 0", part)
		}
		i := classIndex(name)
		if i < 0 {
			return fmt.Errorf("mix: unknown class %q; use 1k, 10k, 100k or 1M", name)
		}
		m.weights[i] = weight
	}
	for _, w := range m.weights {
		m.total += w
	}
	if m.total <= 0 {
		return fmt.Errorf("mix: all weights are zero; give at least one class a weight")
	}
	return nil
}

// pick maps a uniform random number in [0, 1) to a class index.
func (m *mix) pick(u float64) int {
	u *= m.total
	last := 0
	for i, w := range m.weights {
		if w == 0 {
			continue
		}
		if u < w {
			return i
		}
		u -= w
		last = i
	}
	return last
}

// classIndex returns the index of a class, or -1 if it is unknown.
func classIndex(name string) int {
	for i, c := range classes {
		if c.name == name {
			return i
		}
	}
	return -1
}
