package cost

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/poplarwinch/poplarwinch"
)

// Request is what a prediction needs to know of a request.
type Request struct {
	Service  poplarwinch.ServiceName
	Route    string
	Customer poplarwinch.CustomerID
	Model    poplarwinch.ModelName
	Method   string
	// Size is the size of the body in bytes, or the number of prompt tokens.
	Size int64
}

// keyChain has the keys of a request from the general one to the most specific one: service; route and method; model and size; customer.
type keyChain [4]uint64

// keys returns the keys of the request. Sizes are in buckets of a factor of 2.
func (r *Request) keys() keyChain {
	service := serviceKey(r.Service)
	path := combine(combine(service, xxhash.Sum64String(r.Route)), xxhash.Sum64String(r.Method))
	size := combine(combine(path, xxhash.Sum64String(string(r.Model))), uint64(bits.Len64(uint64(max(r.Size, 0)))))
	return keyChain{service, path, size, combine(size, xxhash.Sum64String(string(r.Customer)))}
}

func serviceKey(name poplarwinch.ServiceName) uint64 { return xxhash.Sum64String(string(name)) }

// combine returns the hash of a pair of hashes.
func combine(a, b uint64) uint64 {
	high, low := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	return high ^ low
}
