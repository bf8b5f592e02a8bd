package engine

// frameFaults are the frame faults of one response.
type frameFaults struct {
	duplicate, drop, reorder, foreign, truncate, breaks bool
}

func (e *Engine) takeFrameFaults() frameFaults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	f := &e.faults
	return frameFaults{
		duplicate: f.DuplicateFrames.Take(),
		drop:      f.DropFrames.Take(),
		reorder:   f.ReorderFrames.Take(),
		foreign:   f.ForeignFrames.Take(),
		truncate:  f.Truncate.Take(),
		breaks:    f.BreakConnection.Take(),
	}
}
