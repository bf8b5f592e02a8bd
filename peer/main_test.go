package peer_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid unless -rapid.seed is given, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
