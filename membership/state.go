package membership

// State is the state of a member in an instance's view.
type State string

// The states of a member. Alive and suspect members are live.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	StateLeft    State = "left"
)

// rank orders the states of one incarnation: the higher rank supersedes. It is negative for unknown states.
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

// live reports whether members in state s can own keys.
func (s State) live() bool { return s == StateAlive || s == StateSuspect }
