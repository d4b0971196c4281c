package standin

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// engineAnswer writes one completion, streamed or not.
type engineAnswer struct {
	engine *Engine
	out    io.Writer
	chat   bool
	call   *completionCall
	words  []string
	prompt int
}

// usage is the token count of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// write gives the whole answer; false says that the call was cancelled first.
func (a *engineAnswer) write(ctx context.Context) bool {
	if a.call.Stream {
		return a.stream(ctx)
	}
	if !a.engine.pause(ctx, float64(len(a.words)), a.engine.DecodePerSecond) {
		return false
	}
	text := strings.Join(a.words, " ")
	stop := "stop"
	one := choice{FinishReason: &stop}
	if a.chat {
		one.Message = &message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	whole := a.frame("", one)
	whole.Usage = &usage{PromptTokens: a.prompt, CompletionTokens: len(a.words), TotalTokens: a.prompt + len(a.words)}
	return json.NewEncoder(a.out).Encode(whole) == nil
}

// stream gives the words in parts, as they are decoded, and then [DONE].
func (a *engineAnswer) stream(ctx context.Context) bool {
	part := 1
	if rate := a.engine.DecodePerSecond; rate > 0 {
		part = max(1, int(rate*decodeStep.Seconds()))
	}
	for from := 0; from < len(a.words); from += part {
		to := min(from+part, len(a.words))
		if !a.engine.pause(ctx, float64(to-from), a.engine.DecodePerSecond) {
			return false
		}
		text := strings.Join(a.words[from:to], " ")
		if to < len(a.words) {
			text += " "
		}
		if !a.event(a.part(text, nil)) {
			return false
		}
	}
	stop := "stop"
	if !a.event(a.part("", &stop)) {
		return false
	}
	_, err := a.out.Write([]byte("data: [DONE]\n\n"))
	return err == nil
}

func (a *engineAnswer) part(text string, finish *string) *completion {
	one := choice{FinishReason: finish}
	if a.chat {
		one.Delta = &message{Role: "assistant", Content: text}
	} else {
		one.Text = &text
	}
	return a.frame(".chunk", one)
}

func (a *engineAnswer) frame(suffix string, one choice) *completion {
	object := "text_completion"
	if a.chat {
		object = "chat.completion" + suffix
	}
	return &completion{ID: "cmpl-1", Object: object, Created: time.Now().Unix(), Model: a.call.Model, Choices: []choice{one}}
}

func (a *engineAnswer) event(frame *completion) bool {
	data, err := json.Marshal(frame)
	if err != nil {
		return false
	}
	_, err = a.out.Write([]byte("data: " + string(data) + "\n\n"))
	return err == nil
}
