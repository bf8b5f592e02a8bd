package upstream

// State says whether an upstream may receive new work.
type State string

// The states of an upstream.
const (
	// StateUp means that the upstream accepts new work.
	StateUp State = "up"
	// StateLeaving means that the upstream finishes its requests and gets no new ones. An id never returns from leaving to
	// up.
	StateLeaving State = "leaving"
	// StateDown means that the upstream does not answer or is not ready.
	StateDown State = "down"
)

// severity orders the states. Of observations with the same time, the most severe one wins, so that every instance
// arrives at the same state.
func (s State) severity() uint32 {
	switch s {
	case StateUp:
		return 0
	case StateLeaving:
		return 1
	default:
		return 2
	}
}

// stateOf is the inverse of severity.
func stateOf(severity uint32) State {
	return [...]State{StateUp, StateLeaving, StateDown}[severity]
}
