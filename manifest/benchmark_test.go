package manifest_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// largeManifest returns a manifest with 4,400 further customers, the design scale.
func largeManifest(b *testing.B) *manifest.Manifest { return manifestWithCustomers(b, 4400) }

// manifestWithCustomers returns the minimal manifest with count further customers.
func manifestWithCustomers(b *testing.B, count int) *manifest.Manifest {
	m, err := manifest.Parse([]byte(minimalManifest(b)))
	if err != nil {
		b.Fatal(err)
	}
	for i := range count {
		c := m.Customers[0]
		c.ID, c.KeyHashes = poplarwinch.CustomerID(fmt.Sprintf("customer-%d", i)), []string{manifest.HashKey(fmt.Sprint(i))}
		m.Customers = append(m.Customers, c)
	}
	return m
}

func BenchmarkParse(b *testing.B) {
	data, _ := json.Marshal(largeManifest(b))
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := manifest.Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	m := largeManifest(b)
	for b.Loop() {
		if _, err := manifest.Compile(1, m); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	x, _ := manifest.Compile(1, largeManifest(b))
	for b.Loop() {
		if _, ok := x.Authenticate("17"); !ok {
			b.Fatal("Authenticate() does not find the customer of the key")
		}
	}
}

// BenchmarkActivate measures the cost of activating a manifest by the number of customers: it joins all sections and
// compiles the result.
func BenchmarkActivate(b *testing.B) {
	for _, n := range []int{550, 1100, 2200, 4400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sections, err := manifest.Split(manifestWithCustomers(b, n))
			if err != nil {
				b.Fatal(err)
			}
			bodies := map[string][]byte{}
			for _, s := range sections {
				bodies[s.Digest] = s.Body
			}
			b.ReportAllocs()
			for b.Loop() {
				m, err := manifest.Join(manifest.Refs(sections), func(digest string) ([]byte, error) { return bodies[digest], nil })
				if err != nil {
					b.Fatal(err)
				}
				if _, err := manifest.Compile(1, m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
