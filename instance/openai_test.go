package instance_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/poplarwinch/poplarwinch/emulator/answer"
)

// TestOpenAIClient guards against answers or errors that the official OpenAI client library can't decode.
func TestOpenAIClient(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, clusterOptions{engines: 2})
	n := cluster.startInstance("entry-1", "domain-a")
	cluster.commitManifest(n, manifestText(), 0)
	ctx := context.Background()
	client := openai.NewClient(option.WithBaseURL("http://"+n.caller+"/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "drafting:notes",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which rooms are free?")},
		MaxTokens: openai.Int(9),
	}
	want := strings.Join(answer.Answer(answer.Prompt([]answer.Message{{Role: "user", Content: "Which rooms are free?"}}), 9), "")

	t.Run("chat, whole", func(t *testing.T) {
		got, err := client.Chat.Completions.New(ctx, params)
		if err != nil {
			t.Fatal(err)
		}
		if got.Choices[0].Message.Content != want || got.Usage.CompletionTokens != 9 || got.Choices[0].FinishReason == "" {
			t.Fatalf("answer %s, want content %q", got.RawJSON(), want)
		}
	})
	t.Run("chat, streamed", func(t *testing.T) {
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		accumulator := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			if !accumulator.AddChunk(stream.Current()) {
				t.Fatalf("chunk %s does not continue the answer", stream.Current().RawJSON())
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		if got := accumulator.Choices[0].Message.Content; got != want {
			t.Fatalf("content %q, want %q", got, want)
		}
	})
	t.Run("text, whole", func(t *testing.T) {
		got, err := client.Completions.New(ctx, openai.CompletionNewParams{
			Model: "drafting", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("A note.")}, MaxTokens: openai.Int(5),
		})
		if err != nil || got.Choices[0].Text != strings.Join(answer.Answer("A note.", 5), "") {
			t.Fatalf("answer %v, %v", got, err)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(ctx)
		if err != nil || len(page.Data) != 2 || page.Data[1].ID != "drafting:notes" {
			t.Fatalf("models %v, %v", page, err)
		}
	})
	t.Run("unknown model", func(t *testing.T) {
		wrong := params
		wrong.Model = "unknown"
		_, err := client.Chat.Completions.New(ctx, wrong)
		var e *openai.Error
		if !errors.As(err, &e) || e.StatusCode != 404 || e.Type != "unknown-model" || e.Param != "model" || !strings.Contains(e.Message, "GET /v1/models") {
			t.Fatalf("error %v", err)
		}
	})
	t.Run("wrong key", func(t *testing.T) {
		_, err := client.Chat.Completions.New(ctx, params, option.WithAPIKey("wrong"))
		var e *openai.Error
		if !errors.As(err, &e) || e.StatusCode != 401 || e.Type != "unauthorized" {
			t.Fatalf("error %v", err)
		}
	})
}
