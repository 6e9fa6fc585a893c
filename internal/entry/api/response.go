package api

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
)

// completion is an OpenAI-compatible response body, or one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index int `json:"index"`
	// Text is set in completions, Message in chat completions that are not
	// streamed, and Delta in the events of streamed ones.
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// responseBuilder builds the response bodies of one request.
type responseBuilder struct {
	base completion
	chat bool
}

func newResponseBuilder(request *serve.Request, g generationParams) responseBuilder {
	s := responseBuilder{chat: g.chat, base: completion{Created: time.Now().Unix(), Model: g.model}}
	if g.chat {
		s.base.ID = "chatcmpl-" + request.ID.String()
	} else {
		s.base.ID = "cmpl-" + request.ID.String()
	}
	return s
}

// fullResponse returns the response of a request that does not stream.
func (s responseBuilder) fullResponse(text string, f call.Finish) completion {
	answer := s.base
	reason := f.Final.GetFinishReason()
	answer.Object = "text_completion"
	c := choice{Text: &text, FinishReason: &reason}
	if s.chat {
		answer.Object = "chat.completion"
		c = choice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &reason}
	}
	answer.Choices = []choice{c}
	answer.Usage = newUsage(f)
	return answer
}

// chunk returns one event of a stream. Reason is the finish reason in the last
// event, and nil before.
func (s responseBuilder) chunk(text string, first bool, reason *string) completion {
	answer := s.base
	answer.Object = "text_completion"
	c := choice{Text: &text, FinishReason: reason}
	if s.chat {
		answer.Object = "chat.completion.chunk"
		delta := &chatMessage{Content: text}
		if first {
			delta.Role = "assistant"
		}
		c = choice{Delta: delta, FinishReason: reason}
	}
	answer.Choices = []choice{c}
	return answer
}

// usageChunk returns the event that reports the token usage of a stream.
func (s responseBuilder) usageChunk(f call.Finish) completion {
	answer := s.chunk("", false, nil)
	answer.Choices = []choice{}
	answer.Usage = newUsage(f)
	return answer
}

func newUsage(f call.Finish) *usage {
	prompt := int(f.Final.GetPromptTokens())
	return &usage{
		PromptTokens:        prompt,
		CompletionTokens:    int(f.Tokens),
		TotalTokens:         prompt + int(f.Tokens),
		PromptTokensDetails: usageDetails{CachedTokens: int(f.Final.GetCachedTokens())},
	}
}
