package e2e

import (
	"context"
	"errors"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"gotest.tools/v3/assert"
)

// TestPublicClientLibrary calls with a public client library as it is.
func TestPublicClientLibrary(t *testing.T) {
	t.Parallel()
	d := harrowQuill()
	d.instances, d.services = 2, 1
	s := start(t, d)
	s.declare(d, 1)
	client := openai.NewClient(option.WithBaseURL("http://"+s.entries[0]+"/v1/"), option.WithAPIKey(apiKey))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()

	models, err := client.Models.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, models.Data[0].ID, d.model)

	params := openai.ChatCompletionNewParams{
		Model: d.model, MaxTokens: openai.Int(12),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("the captain's last clue")},
	}
	whole, err := client.Chat.Completions.New(ctx, params)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, expected("the captain's last clue", 12))

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	text := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		text.AddChunk(stream.Current())
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text.Choices[0].Message.Content, expected("the captain's last clue", 12))

	params.Model = "no-such-model"
	_, err = client.Chat.Completions.New(ctx, params)
	var refused *openai.Error
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code, "unknown-model")
}
