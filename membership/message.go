package membership

// Message is the request or the reply of an exchange.
type Message struct {
	// From is the sender's own record.
	From Member
	// Epoch identifies the sender's process; sequence numbers restart with each process.
	Epoch uint64
	// Sequence is the sender's sequence number up to which Records are complete.
	Sequence uint64
	// LiveHash is a hash of the live members in the sender's view. When both hashes are equal, no records
	// need to be sent.
	LiveHash uint64
	// After is the position up to which the sender has the receiver's changes (requests only).
	After Cursor
	// Records are the records that changed since the last exchange with the receiver.
	Records []Member
	// Contacts are the members of the sender's domain that the receiver's domain should use as contacts
	// (replies to other domains only).
	Contacts []Member
}

// Cursor is a position in the sequence of changes of one process.
type Cursor struct{ Epoch, Sequence uint64 }
