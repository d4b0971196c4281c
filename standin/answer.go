package standin

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"
)

// completionWriter writes one completion, as a stream of events or as one JSON body.
type completionWriter struct {
	engine       *Engine
	out          io.Writer
	chat         bool
	call         *completionRequest
	words        []string
	promptTokens int
}

// usage holds the token counts of a completion.
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

// write writes the completion. It reports false if ctx ended or a write failed first.
func (a *completionWriter) write(ctx context.Context) bool {
	if a.call.Stream {
		return a.stream(ctx)
	}
	if !a.engine.waitTokens(ctx, float64(len(a.words)), a.engine.DecodePerSecond) {
		return false
	}
	text := strings.Join(a.words, " ")
	stop := "stop"
	c := choice{FinishReason: &stop}
	if a.chat {
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	body := a.completion("", c)
	body.Usage = &usage{PromptTokens: a.promptTokens, CompletionTokens: len(a.words), TotalTokens: a.promptTokens + len(a.words)}
	return json.NewEncoder(a.out).Encode(body) == nil
}

// stream writes the words in chunks at the decode rate, then [DONE].
func (a *completionWriter) stream(ctx context.Context) bool {
	step := 1
	if rate := a.engine.DecodePerSecond; rate > 0 {
		step = max(1, int(rate*decodeStep.Seconds()))
	}
	for from := 0; from < len(a.words); from += step {
		to := min(from+step, len(a.words))
		if !a.engine.waitTokens(ctx, float64(to-from), a.engine.DecodePerSecond) {
			return false
		}
		text := strings.Join(a.words[from:to], " ")
		if to < len(a.words) {
			text += " "
		}
		if !a.writeEvent(a.chunk(text, nil)) {
			return false
		}
	}
	stop := "stop"
	if !a.writeEvent(a.chunk("", &stop)) {
		return false
	}
	_, err := a.out.Write([]byte("data: [DONE]\n\n"))
	return err == nil
}

func (a *completionWriter) chunk(text string, finish *string) *completion {
	c := choice{FinishReason: finish}
	if a.chat {
		c.Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return a.completion(".chunk", c)
}

func (a *completionWriter) completion(suffix string, c choice) *completion {
	object := "text_completion"
	if a.chat {
		object = "chat.completion" + suffix
	}
	return &completion{ID: "cmpl-1", Object: object, Created: time.Now().Unix(), Model: a.call.Model, Choices: []choice{c}}
}

func (a *completionWriter) writeEvent(frame *completion) bool {
	data, err := json.Marshal(frame)
	if err != nil {
		return false
	}
	_, err = a.out.Write([]byte("data: " + string(data) + "\n\n"))
	return err == nil
}
