// Package poplarwinch holds the identifiers, outcomes and errors that all packages of the serving layer share.
package poplarwinch

// InstanceID names one entry instance of the system.
type InstanceID string

// UpstreamID names one model engine or one server of a plain service.
type UpstreamID string

// CustomerID names a customer of the manifest.
type CustomerID string

// RequestID names one request of a caller and appears in every log line about it.
type RequestID string

// FailureDomain names a set of machines that fail together.
type FailureDomain string

// ModelName names a model of the manifest.
type ModelName string

// AdapterName names an adapter of a model.
type AdapterName string

// ServiceName names a plain service of the manifest.
type ServiceName string

// Tokens counts model tokens.
type Tokens int64

// Bytes counts bytes.
type Bytes int64
