package fault

import "net/http"

// maxFaultsBytes is the maximum size of the body of PUT /faults in bytes.
const maxFaultsBytes = 1 << 16

// Handler serves GET and PUT /faults for an emulator whose faults have type F.
type Handler[F any] struct {
	Get func() F
	// Set replaces all faults. The connection from exceptAddress carries the request and must not be stalled.
	Set func(f F, exceptAddress string)
}

// Register adds GET and PUT /faults to the mux.
func (h Handler[F]) Register(m *http.ServeMux) {
	m.HandleFunc("GET /faults", h.handleGet)
	m.HandleFunc("PUT /faults", h.handlePut)
}

func (h Handler[F]) handleGet(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, h.Get())
}

func (h Handler[F]) handlePut(w http.ResponseWriter, r *http.Request) {
	var f F
	if err := Decode(w, r, maxFaultsBytes, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.Set(f, r.RemoteAddr)
	WriteJSON(w, http.StatusOK, h.Get())
}
