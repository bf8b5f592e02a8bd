// Package poplarwinch holds the identifiers, outcomes and errors that the other packages share.
package poplarwinch

// InstanceID identifies an entry instance.
type InstanceID string

// UpstreamID identifies a model engine or a server of a plain service.
type UpstreamID string

// CustomerID identifies a customer of the manifest.
type CustomerID string

// RequestID identifies a request of a caller and is part of every log line about it.
type RequestID string

// FailureDomain is the name of a set of machines that can fail together.
type FailureDomain string

// ModelName is the name of a model in the manifest.
type ModelName string

// PromptPartID identifies a part of a prompt that several requests may have in common.
type PromptPartID string

// MaxSharedParts bounds the parts of a prompt that are identified. They are the first ones, which most requests share. It is above what
// the headers of a request have room for with usual limits; where a prompt has more, that is logged and counted.
const MaxSharedParts = 4096

// AdapterName is the name of an adapter of a model.
type AdapterName string

// ServiceName is the name of a plain service in the manifest.
type ServiceName string

// Tokens is a number of model tokens.
type Tokens int64

// Bytes is a number of bytes.
type Bytes int64
