package answer

import "strings"

// Message is a message of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Prompt returns the prompt text of a chat: "ROLE: CONTENT" and a line feed for each message.
func Prompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}
