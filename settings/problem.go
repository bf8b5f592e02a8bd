package settings

import "fmt"

// Problem is a reason why the settings are rejected.
type Problem struct {
	Section string
	Key     string
	// Value is the rejected value, a placeholder if it may contain a secret, or empty.
	Value   string
	Message string
	Remedy  string
}

// String returns the section, key, value, message and remedy on one line.
func (p Problem) String() string {
	text := ""
	if p.Section != "" {
		text = "[" + p.Section + "] "
	}
	switch {
	case p.Key != "" && p.Value != "":
		text += fmt.Sprintf("%s = %s: ", p.Key, p.Value)
	case p.Key != "":
		text += p.Key + ": "
	}
	return text + p.Message + "; " + p.Remedy
}
