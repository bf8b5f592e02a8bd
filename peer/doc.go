// Package peer implements the calls between instances: Exchange, Probe, Notice and Manifest.
//
// The calls are connect-go unary calls over HTTP/2, cleartext or TLS, with a CBOR codec. Each has
// a deadline and carries the shared secret as a bearer token. All of them are idempotent, so a call
// that may have failed because of a stalled connection is retried once on a new one.
package peer
