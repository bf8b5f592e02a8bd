package replica

// ChangedByPeer reports whether the latest change came from another instance rather than from the source.
func (r *Replica) ChangedByPeer() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.changedByPeer
}
