package fault

import "net/http"

// Response is an HTTP response of an emulator.
type Response struct {
	Status int
	Header map[string]string
	Body   []byte
}

func (r Response) write(w http.ResponseWriter) {
	for name, value := range r.Header {
		w.Header().Set(name, value)
	}
	w.WriteHeader(r.Status)
	// Writing fails only if the client has disconnected.
	_, _ = w.Write(r.Body)
}
