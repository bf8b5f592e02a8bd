package configuration

// rejection is a manifest that failed validation. The result depends on its content only, so it stays invalid.
type rejection struct {
	digest string
	err    error
}
