package engine

// frameFaults holds the frame faults that affect one response.
type frameFaults struct {
	duplicate, drop, reorder, foreign, truncate, breakConnection bool
}

func (e *Engine) takeFrameFaults() frameFaults {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	f := &e.faults
	return frameFaults{
		duplicate:       f.DuplicateFrames.Take(),
		drop:            f.DropFrames.Take(),
		reorder:         f.ReorderFrames.Take(),
		foreign:         f.ForeignFrames.Take(),
		truncate:        f.Truncate.Take(),
		breakConnection: f.BreakConnection.Take(),
	}
}
