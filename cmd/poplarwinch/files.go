package main

import (
	"errors"
	"io/fs"
	"os"
	"strings"
)

// readFile reads a file given on the command line.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var e *fs.PathError
		if errors.As(err, &e) {
			err = e.Err
		}
		return nil, newFailure("give the path of a readable file", "can't read %s: %v", path, err)
	}
	return data, nil
}

// readToken reads a token from a file. For an empty path it returns an empty token.
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
		return "", newFailure("write the token on one line without spaces", "%s contains no valid token", path)
	}
	return token, nil
}
