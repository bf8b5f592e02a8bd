package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/poplarwinch/poplarwinch"
)

// authenticate requires the operator token if there is one. It compares hashes in constant time, so that response times
// reveal neither the token nor its length.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.token != nil {
			token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			hash := sha256.Sum256([]byte(token))
			if subtle.ConstantTimeCompare(hash[:], s.token[:]) != 1 || !ok {
				w.Header().Set("WWW-Authenticate", "Bearer")
				writeError(w, &poplarwinch.Error{
					Kind: poplarwinch.KindUnauthorized, Outcome: poplarwinch.OutcomeNotRun,
					Message: "missing or unknown operator token", Remedy: "send the operator token as Authorization: Bearer TOKEN",
				})
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}
