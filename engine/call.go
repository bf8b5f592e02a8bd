package engine

import "strings"

// StreamID identifies one attempt to run a prompt on an engine. It is never reused.
type StreamID string

// ReservationID identifies a reservation of KV memory.
type ReservationID string

// The API paths for prompts.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
)

// Call is a prompt to run on an engine.
type Call struct {
	ID StreamID
	// Path is PathCompletions or PathChatCompletions.
	Path string
	// Body is the JSON request with "stream": true and "stream_options": {"include_usage": true}.
	Body []byte
	// Priority orders prompts on the engine; lower values run first.
	Priority int
	// Reservation is the KV memory reserved on this engine; it is empty for none.
	Reservation ReservationID
	// Group lists reservations on other engines, for a prompt that exceeds this engine's memory.
	Group []Member
}

// Member is a reservation on another engine of a group.
type Member struct {
	Address     string
	Reservation ReservationID
}

// formatGroup returns the value of the Group header.
func formatGroup(members []Member) string {
	parts := make([]string, len(members))
	for i, m := range members {
		parts[i] = m.Address + "/" + string(m.Reservation)
	}
	return strings.Join(parts, ",")
}
