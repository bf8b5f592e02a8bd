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

// Headers of the manifest calls.
const (
	headerReplaces = "Replaces"
	headerCommitID = "Commit-Id"
)

// commitIDLimit bounds a commit id, which is stored in the table row.
const commitIDLimit = 128

// wireManifest is the answer of GET /manifest.
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
	replaces, commitID, problem := commitHeaders(r.Header)
	if problem != nil {
		writeError(w, problem)
		return
	}
	data, problem := readManifest(w, r)
	if problem != nil {
		writeError(w, problem)
		return
	}
	// The operator's disconnect does not end a commit whose first writes may have taken effect.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), commitTimeout)
	defer cancel()
	v, err := s.Commit(ctx, data, replaces, commitID)
	if err != nil {
		writeError(w, poplarwinch.AsError(err, poplarwinch.OutcomeUnknown))
		return
	}
	writeJSON(w, http.StatusOK, wireVersion(v))
}

func commitHeaders(h http.Header) (replaces uint64, commitID string, e *poplarwinch.Error) {
	replaces, err := strconv.ParseUint(h.Get(headerReplaces), 10, 64)
	if err != nil {
		return 0, "", invalid(headerReplaces, fmt.Sprintf("header %s is not a version number", headerReplaces),
			"send the version that the manifest replaces, 0 for the first one")
	}
	commitID = h.Get(headerCommitID)
	if commitID == "" || len(commitID) > commitIDLimit {
		return 0, "", invalid(headerCommitID, fmt.Sprintf("header %s is missing or longer than %d bytes", headerCommitID, commitIDLimit),
			"send an id that is unique to this commit and the same for its repeats")
	}
	return replaces, commitID, nil
}

func readManifest(w http.ResponseWriter, r *http.Request) ([]byte, *poplarwinch.Error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, manifestLimit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &poplarwinch.Error{
			Kind: poplarwinch.KindTooLarge, Outcome: poplarwinch.OutcomeNotRun,
			Message: fmt.Sprintf("manifest exceeds %d bytes", manifestLimit), Remedy: "make the manifest smaller",
		}
	case err != nil:
		return nil, invalid("", "manifest was not received completely", "send it again with the same commit id")
	case len(data) == 0:
		return nil, invalid("", "manifest is empty", "send the manifest as request body")
	}
	return data, nil
}

func invalid(param, message, remedy string) *poplarwinch.Error {
	return &poplarwinch.Error{
		Kind: poplarwinch.KindInvalidRequest, Outcome: poplarwinch.OutcomeNotRun, Param: param, Message: message, Remedy: remedy,
	}
}
