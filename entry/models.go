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

// modelCard describes a model in the format of the OpenAI API.
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

// modelsTimeout bounds requests for the list of models, which need no upstream.
const modelsTimeout = 5 * clock.Second

// modelCards returns the models and adapters that the customer may use.
func (x *exchange) modelCards() []modelCard {
	modelCards := []modelCard{}
	add := func(id string) {
		modelCards = append(modelCards, modelCard{ID: id, Object: "model", OwnedBy: x.index.Manifest.Service})
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
	return modelCards
}

func (s *Server) serveModels(ctx context.Context, x *exchange) error {
	return x.writeJSON(ctx, modelList{Object: "list", Data: x.modelCards()})
}

func (s *Server) serveModel(ctx context.Context, x *exchange) error {
	id := chi.URLParam(x.request, "model")
	for _, c := range x.modelCards() {
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
	_, cancel, err := x.withDeadline(ctx, modelsTimeout, modelsTimeout)
	if err != nil {
		return err
	}
	defer cancel()
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	return x.writeComplete(http.StatusOK, "application/json", body)
}
