package host

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	sdk "github.com/openai/openai-go/v3/option"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
)

// TestOfficialClient calls the API with the official OpenAI client, changed only in
// its base URL: whole, streamed, refused, cancelled and broken answers.
func TestOfficialClient(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"}, engine: engine.Config{Decode: 5 * time.Millisecond},
	})
	client := openai.NewClient(
		sdk.WithBaseURL("http://"+f.settings["a1"].Callers+"/v1/"), sdk.WithAPIKey(callerKey), sdk.WithMaxRetries(0))
	ctx := context.Background()
	params := openai.ChatCompletionNewParams{
		Model: "chat", MaxTokens: openai.Int(9),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}

	whole, err := client.Chat.Completions.New(ctx, params, sdk.WithHeader("X-Request-Id", "whole"))
	if err != nil {
		t.Fatal(err)
	}
	if got := whole.Choices[0].Message.Content; got != engine.AnswerText("whole", 9) || whole.Usage.CompletionTokens != 9 || whole.Choices[0].FinishReason != "stop" {
		t.Errorf("whole: %+v", whole)
	}

	stream := client.Chat.Completions.NewStreaming(ctx, params, sdk.WithHeader("X-Request-Id", "streamed"))
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	if stream.Err() != nil || text.String() != engine.AnswerText("streamed", 9) {
		t.Errorf("streamed: %q, %v", text.String(), stream.Err())
	}

	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "chat" {
		t.Errorf("models: %+v, %v", models, err)
	}

	params.Model = "none"
	_, err = client.Chat.Completions.New(ctx, params)
	var refused *openai.Error
	if !errors.As(err, &refused) || refused.StatusCode != 404 || refused.Code != "no_service" {
		t.Errorf("refused: %v", err)
	}

	params.Model, params.MaxTokens = "chat", openai.Int(10000)
	cancelCtx, cancel := context.WithCancel(ctx)
	stream = client.Chat.Completions.NewStreaming(cancelCtx, params, sdk.WithHeader("X-Request-Id", "cancelled"))
	for range 3 {
		stream.Next()
	}
	cancel()
	for stream.Next() {
	}
	if !errors.Is(stream.Err(), context.Canceled) {
		t.Errorf("cancelled: %v", stream.Err())
	}
	f.eventually("the request is cancelled at the engine", func() bool {
		for _, r := range f.engines["e1"].Records() {
			if r.Request == "cancelled" {
				return r.Cancelled
			}
		}
		return false
	})

	// For a stream that breaks and can't be resumed the client reports an error.
	f.engines["e1"].SetFault(engine.Fault{CutAfter: 3, RefuseResume: true})
	params.MaxTokens = openai.Int(9)
	stream = client.Chat.Completions.NewStreaming(ctx, params)
	for stream.Next() {
	}
	if stream.Err() == nil {
		t.Error("got no error from a broken stream")
	}
}
