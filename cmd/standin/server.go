package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"
)

// crashExitCode is the exit code of an emulator that is told to crash.
const crashExitCode = 3

// server serves an emulator on one address.
type server struct {
	http     *http.Server
	listener net.Listener
	failed   chan error
}

// listen starts serving handler and prints the address as a JSON line on standard output.
func listen(address string, handler http.Handler, connState func(net.Conn, http.ConnState)) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		http:     &http.Server{Handler: handler, ConnState: connState, ReadHeaderTimeout: 10 * time.Second},
		listener: l, failed: make(chan error, 1),
	}
	go s.run()
	line := map[string]string{"message": "listening", "address": l.Addr().String()}
	return s, json.NewEncoder(os.Stdout).Encode(line)
}

func (s *server) run() { s.failed <- s.http.Serve(s.listener) }
