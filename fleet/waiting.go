package fleet

// CountWaiting counts a request as waiting for a server until the returned function is called. It does not block.
func (f *Fleet) CountWaiting() (end func()) {
	f.addWaiting(1)
	return func() { f.addWaiting(-1) }
}

func (f *Fleet) addWaiting(n int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.waiting += n
}

// Waiting returns the number of requests that wait for a server at this instance and, by their last reports, at its
// peers.
func (f *Fleet) Waiting() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n, now := f.waiting, f.clock.Now()
	for _, p := range f.peerReports {
		if now-p.at <= reportTimeout {
			n += p.waiting
		}
	}
	return n
}
