// Package property has what property tests of random scenarios share.
package property

import (
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Run runs the tests of a package with other defaults of flags, by name, and returns the exit code. A fixed default of rapid.seed makes
// failures reproducible; the command line selects another.
func Run(m *testing.M, defaults map[string]string) int {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range defaults {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}

// MillisBetween draws one of 64 evenly spaced values. Each bit is drawn separately, since rapid's integer generators favour small values,
// which would place most faults at the start.
func MillisBetween(from, to clock.Millis) *rapid.Generator[clock.Millis] {
	return rapid.Map(rapid.SliceOfN(rapid.Bool(), 6, 6), func(bits []bool) clock.Millis {
		n := clock.Millis(0)
		for _, set := range bits {
			n *= 2
			if set {
				n++
			}
		}
		return from + (to-from)*n/63
	})
}
