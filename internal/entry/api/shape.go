package api

import (
	"time"

	"pistachioroad.dev/pistachioroad/internal/entry/call"
	"pistachioroad.dev/pistachioroad/internal/entry/serve"
)

// completion is an answer in the OpenAI shape, whole or one piece of it.
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
	// Text, Message and Delta belong to a completion, to a whole chat
	// completion and to a piece of one.
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

// shape builds the answers of one request.
type shape struct {
	base completion
	chat bool
}

func newShape(request *serve.Request, g generation) shape {
	s := shape{chat: g.chat, base: completion{Created: time.Now().Unix(), Model: g.model}}
	if g.chat {
		s.base.ID = "chatcmpl-" + request.ID.String()
	} else {
		s.base.ID = "cmpl-" + request.ID.String()
	}
	return s
}

// whole returns the answer of a request that does not stream.
func (s shape) whole(text string, f call.Finish) completion {
	answer := s.base
	reason := f.Final.GetFinishReason()
	answer.Object = "text_completion"
	c := choice{Text: &text, FinishReason: &reason}
	if s.chat {
		answer.Object = "chat.completion"
		c = choice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &reason}
	}
	answer.Choices = []choice{c}
	answer.Usage = usageOf(f)
	return answer
}

// piece returns one event of a stream; reason is nil but in the last.
func (s shape) piece(text string, first bool, reason *string) completion {
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

// usageOnly returns the event that reports the usage of a stream.
func (s shape) usageOnly(f call.Finish) completion {
	answer := s.piece("", false, nil)
	answer.Choices = []choice{}
	answer.Usage = usageOf(f)
	return answer
}

func usageOf(f call.Finish) *usage {
	prompt := int(f.Final.GetPromptTokens())
	return &usage{
		PromptTokens:        prompt,
		CompletionTokens:    int(f.Tokens),
		TotalTokens:         prompt + int(f.Tokens),
		PromptTokensDetails: usageDetails{CachedTokens: int(f.Final.GetCachedTokens())},
	}
}
