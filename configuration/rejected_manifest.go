package configuration

// rejectedManifest is the digest of a manifest that failed validation, and the error. Validation depends only on the
// content, so the result is final.
type rejectedManifest struct {
	digest string
	err    error
}
