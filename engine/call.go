package engine

import "strings"

// StreamID names one attempt to run a prompt on an engine; it is never used twice.
type StreamID string

// ReservationID names a reservation of KV memory.
type ReservationID string

// Paths of the prompt formats.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
)

// Call is a prompt for an engine.
type Call struct {
	ID StreamID
	// Path is PathCompletions or PathChatCompletions.
	Path string
	// Body is the JSON request with "stream": true and "stream_options": {"include_usage": true}.
	Body []byte
	// Priority orders prompts on the engine; lower runs first.
	Priority int
	// Reservation is the KV memory reserved on this engine; empty for none.
	Reservation ReservationID
	// Group lists reservations on further engines for a prompt that exceeds this engine's memory.
	Group []Member
}

// Member is a reservation on a further engine of a group.
type Member struct {
	Address     string
	Reservation ReservationID
}

func formatGroup(members []Member) string {
	parts := make([]string, len(members))
	for i, m := range members {
		parts[i] = m.Address + "/" + string(m.Reservation)
	}
	return strings.Join(parts, ",")
}
