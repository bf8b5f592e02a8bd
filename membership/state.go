package membership

// State is the state of a member as known in the domain.
type State string

// The states of a member. Suspect members still count as live.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeft    State = "left"
)

// rank orders states of the same incarnation: the higher one wins. It is negative for unknown states.
func (s State) rank() int {
	switch s {
	case StateAlive:
		return 0
	case StateSuspect:
		return 1
	case StateDead:
		return 2
	case StateLeft:
		return 3
	default:
		return -1
	}
}

// live reports whether members in state s own duties.
func (s State) live() bool { return s == StateAlive || s == StateSuspect }
