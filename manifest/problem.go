package manifest

// Problem is one reason why a manifest is rejected.
type Problem struct {
	// Path is the path of the field, for example customers[3].weight; empty for the whole document.
	Path    string `json:"path"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the path, the message and the remedy on one line.
func (p Problem) String() string {
	text := p.Message + "; " + p.Remedy
	if p.Path == "" {
		return text
	}
	return p.Path + ": " + text
}
