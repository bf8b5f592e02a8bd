package quarantine

import "flag"

// Property tests use a fixed seed, so that every run checks the same cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
