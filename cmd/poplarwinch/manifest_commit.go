package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch/clock"
)

const (
	// commitAttempts bounds the repeats of a commit without a definite answer; the commit id makes them safe.
	commitAttempts = 3
	commitPause    = clock.Second
)

// manifestCommitCommand commits a manifest through an instance.
type manifestCommitCommand struct {
	operator
	File     string `arg:"positional,required" placeholder:"FILE" help:"manifest file"`
	Replaces uint64 `arg:"required" placeholder:"N" help:"version that the manifest replaces; 0 for the first manifest"`
	CommitID string `arg:"--commit-id" placeholder:"ID" help:"id of the commit, to repeat it safely [default: random]"`
}

func (c *manifestCommitCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	if c.CommitID == "" {
		c.CommitID = rand.Text()
		fmt.Fprintf(stderr, "commit id %s\n", c.CommitID)
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set("Replaces", strconv.FormatUint(c.Replaces, 10))
	header.Set("Commit-Id", c.CommitID)
	answer, err := c.send(ctx, header, data, stderr)
	if err != nil {
		return err
	}
	var accepted struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	}
	if err := json.Unmarshal(answer, &accepted); err != nil || accepted.Version == 0 {
		return failed("repeat the command with --commit-id "+c.CommitID, "the instance's answer names no version")
	}
	fmt.Fprintf(stdout, "accepted as version %d, digest %s\n", accepted.Version, accepted.Digest)
	return nil
}

// send repeats the commit until the answer is definite.
func (c *manifestCommitCommand) send(ctx context.Context, header http.Header, data []byte, stderr io.Writer) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		answer, err := c.request(ctx, http.MethodPut, "/manifest", header, data)
		var open *unsettledError
		if !errors.As(err, &open) {
			return answer, err
		}
		if attempt == commitAttempts || clock.System().Sleep(ctx, commitPause) != nil {
			open.message += "; the commit may have taken effect"
			open.remedy += ", and repeat the command with --commit-id " + c.CommitID
			return nil, open
		}
		fmt.Fprintf(stderr, "repeating the commit: %v\n", err)
	}
}
