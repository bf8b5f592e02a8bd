// Package operator is the HTTP server for operators: status, manifest, metrics and health.
//
// It listens on an address of its own. Error responses have the body {"error": {"type", "message", "remedy",
// "outcome"}}, where type is an error kind of the root package.
package operator
