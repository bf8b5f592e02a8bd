package manifest_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/manifest"
)

// large returns a manifest with as many customers as the design scale has.
func large(b *testing.B) *manifest.Manifest {
	m, err := manifest.Parse([]byte(minimal(b)))
	if err != nil {
		b.Fatal(err)
	}
	for i := range 4400 {
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
