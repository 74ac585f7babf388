package demo_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/cicadanotch/cicadanotch/demo"
	"github.com/cicadanotch/cicadanotch/standin"
)

func openaiClient(d *demo.Deployment, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+d.Entries()[0].Host.CallerAddress+"/v1"),
		option.WithAPIKey(key),
		option.WithMaxRetries(0),
	)
}

func chatParams(model, prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxCompletionTokens: openai.Int(tokens),
	}
}

// TestOpenAIClient checks that the official client works unmodified.
func TestOpenAIClient(t *testing.T) {
	p := smallProfile()
	d := start(t, p)
	client := openaiClient(d, p.Workspaces[0].Key())
	ctx := t.Context()
	want := strings.Join(standin.ExpectedAnswer(p.Model, "user\nHow is store 4?\n", 12), "")

	t.Run("chat", func(t *testing.T) {
		is := is.New(t)
		got, err := client.Chat.Completions.New(ctx, chatParams(p.Model, "How is store 4?", 12))
		is.NoErr(err)
		is.Equal(got.Choices[0].Message.Content, want)
		is.Equal(got.Choices[0].FinishReason, "stop")
		is.Equal(got.Usage.CompletionTokens, int64(12))
	})
	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams(p.Model, "How is store 4?", 12))
		var sum openai.ChatCompletionAccumulator
		for stream.Next() {
			is.True(sum.AddChunk(stream.Current()))
		}
		is.NoErr(stream.Err())
		is.Equal(sum.Choices[0].Message.Content, want)
		is.Equal(sum.Choices[0].FinishReason, "stop")
	})
	t.Run("completion", func(t *testing.T) {
		is := is.New(t)
		got, err := client.Completions.New(ctx, openai.CompletionNewParams{
			Model:     openai.CompletionNewParamsModel(p.Model),
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("store 4")},
			MaxTokens: openai.Int(5),
		})
		is.NoErr(err)
		is.Equal(got.Choices[0].Text, strings.Join(standin.ExpectedAnswer(p.Model, "store 4", 5), ""))
	})
	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		list, err := client.Models.List(ctx)
		is.NoErr(err)
		is.Equal(len(list.Data), 1)
		is.Equal(list.Data[0].ID, p.Model)
		one, err := client.Models.Get(ctx, p.Model)
		is.NoErr(err)
		is.Equal(one.ID, p.Model)
	})
	t.Run("errors", func(t *testing.T) {
		for name, tc := range map[string]struct {
			client openai.Client
			model  string
			status int
			kind   string
		}{
			"unknown model": {client, "none", http.StatusNotFound, "not-found"},
			"bad key":       {openaiClient(d, "wrong"), p.Model, http.StatusUnauthorized, "unauthorized"},
		} {
			is := is.New(t)
			_, err := tc.client.Chat.Completions.New(ctx, chatParams(tc.model, "x", 1))
			var refused *openai.Error
			is.True(errors.As(err, &refused)) // the next check names the row
			if refused.StatusCode != tc.status || refused.Type != tc.kind || refused.Code != "not-run" {
				t.Errorf("%s: %d %s %s", name, refused.StatusCode, refused.Type, refused.Code)
			}
		}
		is := is.New(t)
		unauthorized := openaiClient(d, "wrong")
		_, err := unauthorized.Models.List(ctx)
		is.True(err != nil)
		_, err = client.Models.Get(ctx, "none")
		is.True(err != nil)
	})
	t.Run("cancel", func(t *testing.T) {
		is := is.New(t)
		cancelled, cancel := context.WithCancel(ctx)
		stream := client.Chat.Completions.NewStreaming(cancelled, chatParams(p.Model, "a long one", 2000))
		is.True(stream.Next())
		cancel()
		for stream.Next() { // chunks that were already sent
		}
		is.True(errors.Is(stream.Err(), context.Canceled))
		_, err := client.Chat.Completions.New(ctx, chatParams(p.Model, "How is store 4?", 12))
		is.NoErr(err) // the client is still usable
	})
	t.Run("timeout", func(t *testing.T) {
		is := is.New(t)
		_, err := client.Chat.Completions.New(ctx, chatParams(p.Model, "a long one", 5000), option.WithRequestTimeout(50*time.Millisecond))
		is.True(err != nil)
	})
}
