package engine_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	emulated "github.com/poplarwinch/poplarwinch/emulator/engine"
	"github.com/poplarwinch/poplarwinch/engine"
)

func ExampleClient_Open() {
	e := emulated.New(emulated.WithStep(1), emulated.WithModels(emulated.Model{Name: "drafting", Version: "1"}))
	defer e.Close()
	server := httptest.NewServer(e)
	defer server.Close()

	ctx, client := context.Background(), engine.New()
	defer client.Close()
	stream, err := client.Open(ctx, server.Listener.Addr().String(), engine.Call{
		ID: "attempt-1", Path: engine.PathCompletions,
		Body: []byte(`{"model":"drafting","prompt":"hello","max_tokens":2,"stream":true,"stream_options":{"include_usage":true}}`),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stream.Close()
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			fmt.Println(err)
			return
		}
		if frame.Done {
			fmt.Println("done after frame", frame.Sequence)
			return
		}
	}
	// Output: done after frame 5
}
