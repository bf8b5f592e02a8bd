package membership

// Message is one direction of an exchange.
type Message struct {
	// From is the sender's own record.
	From Member
	// Epoch identifies the sender's process; its sequence numbers start anew with each process.
	Epoch uint64
	// Sequence is the sender's sequence number up to which Records are complete.
	Sequence uint64
	// LiveHash is a hash of the live members as the sender knows them; equal hashes need no records.
	LiveHash uint64
	// After is the position in the receiver's changes up to which the sender has them (requests only).
	After Cursor
	// Records are the records that changed since the last exchange.
	Records []Member
	// Contacts are members of the sender's domain that answer for it in exchanges between domains (replies only).
	Contacts []Member
}

// Cursor is a position in the changes of one process.
type Cursor struct{ Epoch, Sequence uint64 }
