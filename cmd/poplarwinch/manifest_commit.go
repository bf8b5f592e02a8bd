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
	// commitAttempts is the number of attempts for a commit whose outcome is unknown; the commit id makes retries idempotent.
	commitAttempts = 3
	// commitRetryDelay is the delay between two attempts.
	commitRetryDelay = clock.Second
)

// manifestCommitCommand commits a manifest through an instance.
type manifestCommitCommand struct {
	operatorClient
	File     string `arg:"positional,required" placeholder:"FILE" help:"manifest file"`
	Replaces uint64 `arg:"required" placeholder:"N" help:"version that the manifest replaces; 0 for the first manifest"`
	CommitID string `arg:"--commit-id" placeholder:"ID" help:"idempotency id of the commit, for a safe retry [default: random]"`
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
	body, err := c.send(ctx, header, data, stderr)
	if err != nil {
		return err
	}
	var accepted struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	}
	if err := json.Unmarshal(body, &accepted); err != nil || accepted.Version == 0 {
		return newFailure("repeat the command with --commit-id "+c.CommitID, "the instance's answer names no version")
	}
	fmt.Fprintf(stdout, "accepted as version %d, digest %s\n", accepted.Version, accepted.Digest)
	return nil
}

// send sends the commit and retries it while its outcome is unknown, up to commitAttempts times in all.
func (c *manifestCommitCommand) send(ctx context.Context, header http.Header, data []byte, stderr io.Writer) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		body, err := c.request(ctx, http.MethodPut, "/manifest", header, data)
		var unknownOutcome *unknownOutcomeError
		if !errors.As(err, &unknownOutcome) {
			return body, err
		}
		if attempt == commitAttempts || clock.System().Sleep(ctx, commitRetryDelay) != nil {
			unknownOutcome.message += "; the commit may have taken effect"
			unknownOutcome.remedy += ", and repeat the command with --commit-id " + c.CommitID
			return nil, unknownOutcome
		}
		fmt.Fprintf(stderr, "retrying the commit: %v\n", err)
	}
}
