//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// ask sends a plain request on a new connection and returns the status, or zero if there was no complete answer. It leaves after the given time.
func ask(address, method, target, attempt, body string, budget, leave time.Duration) (status int, answer string, err error) {
	return askWith(address, method, target, attempt, body, budget, leave, "")
}

// traffic is the record of what is sent, answered and run.
var traffic *recorder

// askWith is ask with further header lines. It records the request and its answer.
func askWith(address, method, target, attempt, body string, budget, leave time.Duration, lines string) (status int, answer string, err error) {
	traffic.log("sent %s %s %s to %s", attempt, method, target, address)
	status, answer, err = exchange(address, method, target, attempt, body, budget, leave, lines)
	traffic.log("answered %s: status %d, %d bytes, %v", attempt, status, len(answer), err)
	return status, answer, err
}

// exchange sends a request on a new connection and reads the answer.
func exchange(address, method, target, attempt, body string, budget, leave time.Duration, lines string) (status int, answer string, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(leave))
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\nAuthorization: Token key-1\r\n%sContent-Length: %d\r\n\r\n%s",
		method, target, attempt, budget.Milliseconds(), lines, len(body), body)
	if err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err
	}
	return response.StatusCode, string(text), nil
}
