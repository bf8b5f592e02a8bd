package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/poplarwinch/poplarwinch"
)

// groupTimeout limits a request to another engine of the group. The engines of a group are in the same failure domain.
const groupTimeout = 2 * time.Second

// addGroupReservations fetches the reservations named in a Group header from their engines and credits them to s.
func (e *Engine) addGroupReservations(ctx context.Context, s *sequence, header string) error {
	seen := map[string]bool{}
	for member := range strings.SplitSeq(header, ",") {
		address, id, ok := strings.Cut(strings.TrimSpace(member), "/")
		if !ok || seen[member] {
			return fmt.Errorf("group member %q is malformed or repeated", member)
		}
		seen[member] = true
		tokens, err := e.reservedTokens(ctx, address, id)
		if err != nil {
			return fmt.Errorf("group member %s: %w", member, err)
		}
		s.remoteTokens += tokens
		s.engineCount++
	}
	return nil
}

func (e *Engine) reservedTokens(ctx context.Context, address, id string) (poplarwinch.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/kv/reservations", nil)
	if err != nil {
		return 0, err
	}
	response, err := e.groupTransport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var list []reservation
	if err := json.NewDecoder(io.LimitReader(response.Body, 16<<20)).Decode(&list); err != nil {
		return 0, err
	}
	for _, v := range list {
		if v.ID == id {
			return v.Tokens, nil
		}
	}
	return 0, fmt.Errorf("unknown reservation")
}
