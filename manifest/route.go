package manifest

import (
	"net/http"
	"path"
	"strings"
)

// Route selects calls of a plain service by method and path.
type Route struct {
	Method string `json:"method"`
	// Path is relative to the service and may end in /* to select everything below it.
	Path string `json:"path"`
}

// Matches reports whether the route selects a call. The path is cleaned first, because upstreams often treat
// //bookings, /bookings/ and /bookings alike, and a missed match would allow a second run. For the same reason a
// route for GET also selects HEAD, and the method is compared without regard to case.
func (r Route) Matches(method, target string) bool {
	if !strings.EqualFold(r.Method, method) &&
		(r.Method != http.MethodGet || !strings.EqualFold(method, http.MethodHead)) {
		return false
	}
	target = cleaned(target)
	if base, ok := strings.CutSuffix(r.Path, "/*"); ok {
		return target == base || strings.HasPrefix(target, base+"/")
	}
	return target == r.Path
}

func cleaned(target string) string { return path.Clean("/" + target) }
