package engine

// Frame is an event of a stream or a waiting comment.
type Frame struct {
	// Sequence is the number of the event, from 1 without gaps. It is 0 for a waiting comment.
	Sequence int
	// Data is the JSON chunk. It is valid until the next call of Next.
	Data []byte
	// Done is set on the last event, whose Data is "[DONE]".
	Done bool
	// Waiting is set while the engine reports that the prompt is queued or in prefill.
	Waiting bool
}
