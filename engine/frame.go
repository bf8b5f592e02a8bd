package engine

// Frame is one event of a stream.
type Frame struct {
	// Sequence is the event's number, from 1 without gaps; it is 0 for a waiting comment.
	Sequence int
	// Data is the chunk as JSON; it is valid until the next call of Next.
	Data []byte
	// Done is set on the last event; its Data is "[DONE]".
	Done bool
	// Waiting is set while the engine reports that the prompt is queued or in prefill.
	Waiting bool
}
