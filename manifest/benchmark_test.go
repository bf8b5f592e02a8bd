package manifest_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// large returns a manifest with as many customers as the design scale has.
func large(b *testing.B) *manifest.Manifest { return sized(b, 4400) }

// sized returns a manifest with n further customers.
func sized(b *testing.B, n int) *manifest.Manifest {
	m, err := manifest.Parse([]byte(minimal(b)))
	if err != nil {
		b.Fatal(err)
	}
	for i := range n {
		c := m.Customers[0]
		c.ID, c.KeyHashes = poplarwinch.CustomerID(fmt.Sprintf("customer-%d", i)), []string{manifest.HashKey(fmt.Sprint(i))}
		m.Customers = append(m.Customers, c)
	}
	return m
}

func BenchmarkParse(b *testing.B) {
	data, _ := json.Marshal(large(b))
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := manifest.Parse(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkCompile(b *testing.B) {
	m := large(b)
	for b.Loop() {
		if _, err := manifest.Compile(1, m); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	x, _ := manifest.Compile(1, large(b))
	for b.Loop() {
		if _, ok := x.Authenticate("17"); !ok {
			b.Fatal("the key is not accepted")
		}
	}
}

// BenchmarkActivate measures what a new manifest costs an instance, by the number of customers: one section is parsed, all
// are joined and compiled.
func BenchmarkActivate(b *testing.B) {
	for _, n := range []int{550, 1100, 2200, 4400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			sections, err := manifest.Split(sized(b, n))
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
