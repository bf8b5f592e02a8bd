package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/poplarwinch/poplarwinch"
)

// Headers of PUT /manifest.
const (
	// headerReplaces holds the version that the manifest replaces.
	headerReplaces = "Replaces"
	// headerCommitID holds the id of the commit, which its retries share.
	headerCommitID = "Commit-Id"
)

// maxCommitIDBytes bounds a commit id, because it is stored in the table row.
const maxCommitIDBytes = 128

// wireManifest is the response to GET /manifest.
type wireManifest struct {
	Version  uint64          `json:"version"`
	Digest   string          `json:"digest"`
	Manifest json.RawMessage `json:"manifest"`
}

func (s *Server) getManifest(w http.ResponseWriter, r *http.Request) {
	data, v, err := s.Manifest(r.Context())
	if err != nil {
		writeError(w, poplarwinch.AsError(err, poplarwinch.OutcomeNotRun))
		return
	}
	writeJSON(w, http.StatusOK, wireManifest{Version: v.Version, Digest: v.Digest, Manifest: data})
}

func (s *Server) putManifest(w http.ResponseWriter, r *http.Request) {
	replaces, commitID, failure := parseCommitHeaders(r.Header)
	if failure != nil {
		writeError(w, failure)
		return
	}
	data, failure := readManifest(w, r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	// A commit continues when the operator disconnects, because its first writes may already have taken effect.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), commitTimeout)
	defer cancel()
	v, err := s.Commit(ctx, data, replaces, commitID)
	if err != nil {
		writeError(w, poplarwinch.AsError(err, poplarwinch.OutcomeUnknown))
		return
	}
	writeJSON(w, http.StatusOK, wireVersion(v))
}

func parseCommitHeaders(h http.Header) (replaces uint64, commitID string, e *poplarwinch.Error) {
	replaces, err := strconv.ParseUint(h.Get(headerReplaces), 10, 64)
	if err != nil {
		return 0, "", invalidRequest(headerReplaces, fmt.Sprintf("header %s is not a version number", headerReplaces),
			"send the version that the manifest replaces, 0 for the first one")
	}
	commitID = h.Get(headerCommitID)
	if commitID == "" || len(commitID) > maxCommitIDBytes {
		return 0, "", invalidRequest(headerCommitID, fmt.Sprintf("header %s is missing or longer than %d bytes", headerCommitID, maxCommitIDBytes),
			"send an id that is unique to this commit and the same for its repeats")
	}
	return replaces, commitID, nil
}

func readManifest(w http.ResponseWriter, r *http.Request) ([]byte, *poplarwinch.Error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxManifestBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindTooLarge, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("manifest exceeds %d bytes", maxManifestBytes), Remedy: "make the manifest smaller",
		}
	case err != nil:
		return nil, invalidRequest("", "manifest was not received completely", "send it again with the same commit id")
	case len(data) == 0:
		return nil, invalidRequest("", "manifest is empty", "send the manifest as request body")
	}
	return data, nil
}

func invalidRequest(param, message, remedy string) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Param: param, Message: message, Remedy: remedy,
	}
}
