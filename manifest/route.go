package manifest

import (
	"net/http"
	"path"
	"strings"
)

// Route matches calls of a plain service by method and path.
type Route struct {
	Method string `json:"method"`
	// Path is relative to the service. If it ends in /* it matches the path before that and all paths below it.
	Path string `json:"path"`
}

// Matches reports whether the route matches a call. It cleans the path first, because upstreams often treat //bookings,
// /bookings/ and /bookings alike, and a missed match would allow a non-repeatable call to run twice. For the same reason a
// route for GET also matches HEAD, and methods are compared case-insensitively.
func (r Route) Matches(method, target string) bool {
	if !strings.EqualFold(r.Method, method) &&
		(r.Method != http.MethodGet || !strings.EqualFold(method, http.MethodHead)) {
		return false
	}
	target = cleanPath(target)
	if base, ok := strings.CutSuffix(r.Path, "/*"); ok {
		return target == base || strings.HasPrefix(target, base+"/")
	}
	return target == r.Path
}

// cleanPath returns the target as a clean absolute path.
func cleanPath(target string) string { return path.Clean("/" + target) }
