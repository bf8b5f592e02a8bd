package raw

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// Uploads are sizes of request bodies in bytes: one that may fit into the buffers of a connection, and one that doesn't.
func Uploads() []int { return []int{300_000, 40_000_000} }

// Result is what a caller got of a request: a status of zero if there was no answer.
type Result struct {
	Status int
	Header http.Header
	Body   string
	// Ended says that the body ended as a complete one does.
	Ended bool
}

// Call sends a request on a new connection and reads the answer, as callers do.
func Call(r *http.Request) Result {
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return Result{}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Result{Status: response.StatusCode, Header: response.Header, Body: string(data), Ended: err == nil}
}

// IsWhole reports whether the caller got the body as a complete answer with status 200.
func (r *Result) IsWhole(body string) bool {
	return r.Ended && r.Status == http.StatusOK && r.Body == body
}

// ServeEach serves each of the answers with the header lines and the body in turn, and calls test with the address of the server.
func ServeEach(answers []Answer, lines, body string, test func(a *Answer, address string)) {
	for i := range answers {
		a := &answers[i]
		s := httptest.NewServer(Handler(func(c *Connection) {
			c.ReadBody()
			c.WriteText(a.Text(lines, body))
		}))
		test(a, s.Listener.Addr().String())
		s.Close()
	}
}

// Broken returns the answers of Malformed, and those of Parts that show by themselves that they are parts.
func Broken() []Answer { return append(Malformed(), Parts()[:2]...) }
