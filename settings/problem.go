package settings

import "fmt"

// Problem is one reason why settings are rejected.
type Problem struct {
	Section string
	Key     string
	// Value is the rejected value, or a placeholder if it may be a secret.
	Value   string
	Message string
	Remedy  string
}

// String returns the place, the value, the message and the remedy on one line.
func (p Problem) String() string {
	place := ""
	if p.Section != "" {
		place = "[" + p.Section + "] "
	}
	switch {
	case p.Key != "" && p.Value != "":
		place += fmt.Sprintf("%s = %s: ", p.Key, p.Value)
	case p.Key != "":
		place += p.Key + ": "
	}
	return place + p.Message + "; " + p.Remedy
}
