//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	attempt string
	// method is POST if it is empty.
	method string
	path   string
	// model is the name of the model; empty for plain services.
	model string
	// parts is the Prompt-Prefix and tokens the Token-Count; both are empty for plain services.
	parts  string
	tokens string
	body   string
	// key is the API key; empty for the usual one.
	key    string
	budget time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	// key is the API key; empty for the usual one.
	key string
	// err is set if the channel ended without a complete answer.
	err error
}

// channel is a kept connection of a client.
type channel struct {
	connection net.Conn
	reader     *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{connection: c, reader: bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.connection.Close() }

// head returns the header of a request.
func (q *request) head() string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\nAuthorization: Token %s\r\n",
		cmp.Or(q.method, http.MethodPost), q.path, host, q.attempt, q.budget.Milliseconds(), cmp.Or(q.key, apiKey))
	if q.body != "" {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(q.body))
	}
	if q.tokens != "" {
		fmt.Fprintf(b, "Model: %s\r\nToken-Count: %s\r\nPrompt-Prefix: %s\r\n", q.model, q.tokens, q.parts)
	}
	b.WriteString("\r\n")
	return b.String()
}

// send sends a request and reads the whole answer.
func (c *channel) send(q *request) answer {
	_ = c.connection.SetDeadline(time.Now().Add(q.budget + 2*time.Second))
	if _, err := io.WriteString(c.connection, q.head()+q.body); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), err: err}
}

// sendNew sends a request on a new channel to an instance and records both ends of it.
func (w *world) sendNew(i *instance, q *request) answer {
	w.record.note("client sends %s %s to %s %s %s", q.attempt, q.path, i.name, q.model, q.parts)
	c, err := openChannel(i.front())
	if err != nil {
		w.record.answered(q.attempt, answer{err: err})
		return answer{err: err}
	}
	defer c.close()
	a := c.send(q)
	w.record.answered(q.attempt, a)
	return a
}

// reason returns the text of an error answer.
func (a answer) reason() string {
	if a.status < http.StatusBadRequest {
		return ""
	}
	return ": " + strings.TrimSpace(a.body)
}
