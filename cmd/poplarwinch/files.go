package main

import (
	"errors"
	"io/fs"
	"os"
	"strings"
)

// readFile reads a file that the command line names.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var e *fs.PathError
		if errors.As(err, &e) {
			err = e.Err
		}
		return nil, failed("give the path of a readable file", "can't read %s: %v", path, err)
	}
	return data, nil
}

// readToken reads a token from a file; without a file there is none.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	data, err := readFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(data))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", failed("write the token on one line without spaces", "%s holds no usable token", path)
	}
	return token, nil
}
