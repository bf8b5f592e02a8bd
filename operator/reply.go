package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

type errorReply struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Type    poplarwinch.Kind    `json:"type"`
	Message string              `json:"message"`
	Remedy  string              `json:"remedy"`
	Outcome poplarwinch.Outcome `json:"outcome"`
}

func writeError(w http.ResponseWriter, e *poplarwinch.Error) {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((e.RetryAfter+clock.Second-1)/clock.Second), 10))
	}
	w.Header().Set("Outcome", string(e.Outcome))
	writeJSON(w, e.Kind.Status(), errorReply{wireError{e.Kind, e.Message, e.Remedy, e.Outcome}})
}

func writeJSON(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(reply) // fails only if the connection is broken
}

func writeText(w http.ResponseWriter, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, text) // fails only if the connection is broken
}

// methodNotAllowed sends the error with an Allow header that lists the methods of the path, as HTTP requires.
func methodNotAllowed(routes chi.Routes, w http.ResponseWriter, r *http.Request) {
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		if routes.Match(chi.NewRouteContext(), method, r.URL.Path) {
			w.Header().Add("Allow", method)
		}
	}
	writeError(w, &poplarwinch.Error{
		Kind: poplarwinch.KindMethodNotAllowed, Outcome: poplarwinch.OutcomeNotRun,
		Message: r.Method + " is not allowed on " + r.URL.Path, Remedy: "use a method of the Allow header",
	})
}
