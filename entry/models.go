package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// modelCard describes a model in the shape that OpenAI clients read.
type modelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelCard `json:"data"`
}

// listTimeout bounds the answers that need no upstream.
const listTimeout = 5 * clock.Second

// cards returns the models and adapters that the customer may use.
func (x *exchange) cards() []modelCard {
	cards := []modelCard{}
	add := func(id string) {
		cards = append(cards, modelCard{ID: id, Object: "model", OwnedBy: x.index.Manifest.Service})
	}
	for i := range x.index.Manifest.Models {
		m := &x.index.Manifest.Models[i]
		if !x.customer.MayUseModel(m.Name) {
			continue
		}
		add(string(m.Name))
		for _, a := range m.Adapters {
			add(string(m.Name) + ":" + string(a.Name))
		}
	}
	return cards
}

func (s *Server) serveModels(ctx context.Context, x *exchange) error {
	return x.writeJSON(ctx, modelList{Object: "list", Data: x.cards()})
}

func (s *Server) serveModel(ctx context.Context, x *exchange) error {
	id := chi.URLParam(x.request, "model")
	for _, c := range x.cards() {
		if c.ID == id {
			return x.writeJSON(ctx, c)
		}
	}
	return &poplarwinch.Error{
		Kind: poplarwinch.KindUnknownModel, Outcome: poplarwinch.OutcomeNotRun, Param: "model",
		Message: fmt.Sprintf("model %q does not exist", id), Remedy: "name a model of GET /v1/models",
	}
}

func (x *exchange) writeJSON(ctx context.Context, v any) error {
	_, cancel, err := x.limit(ctx, listTimeout, listTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	return x.writeWhole(http.StatusOK, "application/json", body)
}
