package upstream

// State says whether an upstream may receive new work.
type State string

// The states of an upstream.
const (
	// StateUp means that the upstream accepts new work.
	StateUp State = "up"
	// StateLeaving means that the upstream finishes its work and gets no new one; an id never returns from it to up.
	StateLeaving State = "leaving"
	// StateDown means that the upstream does not answer or is not ready.
	StateDown State = "down"
)

// severity orders states so that observations with the same time merge alike in every instance.
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

func stateOf(severity uint32) State {
	return [...]State{StateUp, StateLeaving, StateDown}[severity]
}
