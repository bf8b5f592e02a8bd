package fault

import "net/http"

// maxSwitches bounds a request that sets switches, in bytes.
const maxSwitches = 1 << 16

// Switches serves the fault switches F of one emulator.
type Switches[F any] struct {
	Get func() F
	// Set replaces all switches. The connection from the remote address except carries the request, so it is not stalled.
	Set func(f F, except string)
}

// Register adds GET and PUT /faults to the mux.
func (s Switches[F]) Register(m *http.ServeMux) {
	m.HandleFunc("GET /faults", s.handleGet)
	m.HandleFunc("PUT /faults", s.handlePut)
}

func (s Switches[F]) handleGet(w http.ResponseWriter, _ *http.Request) {
	Reply(w, http.StatusOK, s.Get())
}

func (s Switches[F]) handlePut(w http.ResponseWriter, r *http.Request) {
	var f F
	if err := Decode(w, r, maxSwitches, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f, r.RemoteAddr)
	Reply(w, http.StatusOK, s.Get())
}
