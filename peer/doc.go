// Package peer carries the calls between instances: Exchange, Probe, Notice and Manifest.
//
// The calls are connect-go unary calls over HTTP/2, cleartext or TLS, with a CBOR codec. Each has
// a deadline and carries the shared secret as a bearer token. All of them may be repeated
// without harm, so a call that fails on an open connection is tried once more on a fresh one.
package peer
