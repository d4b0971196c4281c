package tests

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/standin"
)

func sha256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// prompt returns a prompt that is unique to call i.
func prompt(i int) string { return fmt.Sprintf("call-%d asks why the compressor %d is warm", i, i*7) }

// completionCall is one call of the completions interface. It is made by net/http, as a client
// library would retry it.
type completionCall struct {
	Entry     string
	Key       string
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	Header    map[string]string
	// Service, if set, makes it a call of this plain service, with the prompt as its body.
	Service string
}

// result is what the caller received.
type result struct {
	ID         runworks.RequestID
	Status     int
	Outcome    runworks.Outcome
	Attempt    string
	RetryAfter time.Duration
	Text       string
	// Complete is set if the answer is complete: valid JSON, or a stream that ended with [DONE].
	Complete bool
	// Code is the error's code.
	Code string
	// Err is the error of the connection or of decoding the answer.
	Err error
}

// request returns the path and the body of the call.
func (c *completionCall) request() (path string, body []byte) {
	if c.Service != "" {
		return "/services/" + c.Service + "/log", []byte(c.Prompt)
	}
	body, _ = json.Marshal(map[string]any{
		"model": c.Model, "prompt": c.Prompt, "max_tokens": c.MaxTokens, "stream": c.Stream,
	})
	return "/v1/completions", body
}

// do makes the call and reads its answer to the end.
func (c *completionCall) do(ctx context.Context, client *http.Client) *result {
	path, body := c.request()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Entry+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return &result{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	res, err := client.Do(req)
	if err != nil {
		return &result{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	r := &result{
		ID: runworks.RequestID(res.Header.Get(runworks.HeaderRequestID)), Status: res.StatusCode,
		Outcome: runworks.Outcome(res.Header.Get(runworks.HeaderOutcome)), Attempt: res.Header.Get(runworks.HeaderAttempt),
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	if res.StatusCode == http.StatusOK && c.Stream {
		r.readEvents(res.Body)
	} else {
		r.readWhole(res.Body)
	}
	return r
}

// frame holds the decoded fields of a complete answer or of one stream event.
type frame struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
	// Body is the request body, echoed by a plain service.
	Body *string `json:"body"`
}

func (r *result) readWhole(body io.Reader) {
	data, err := io.ReadAll(body)
	if err != nil {
		r.Err = err
		return
	}
	var f frame
	if r.Err = json.Unmarshal(data, &f); r.Err != nil {
		return
	}
	if f.Error != nil {
		r.Code = f.Error.Code
	}
	if r.Status == http.StatusOK && f.Body != nil {
		r.Text, r.Complete = *f.Body, true
	}
	if r.Status == http.StatusOK && len(f.Choices) == 1 {
		r.Text, r.Complete = f.Choices[0].Text, true
	}
}

func (r *result) readEvents(body io.Reader) {
	scanner := bufio.NewScanner(body)
	done := false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var f frame
		if r.Err = json.Unmarshal([]byte(data), &f); r.Err != nil {
			return
		}
		if f.Error != nil {
			r.Code = f.Error.Code
			continue
		}
		r.Text += f.Choices[0].Text
	}
	r.Err = scanner.Err()
	r.Complete = done && r.Err == nil
}

// wantText returns the answer that the stand-ins generate for the call's prompt.
func (c *completionCall) wantText() string {
	if c.Service != "" {
		return c.Prompt
	}
	return strings.Join(standin.CompletionWords(c.Prompt, c.MaxTokens), " ")
}

// check makes the call and returns an error unless it gets the complete answer to its own prompt.
func (c *completionCall) check(ctx context.Context, client *http.Client) error {
	r := c.do(ctx, client)
	if r.Err != nil {
		return r.Err
	}
	if !r.Complete {
		return fmt.Errorf("status %d, outcome %q, code %q", r.Status, r.Outcome, r.Code)
	}
	if r.Text != c.wantText() {
		return fmt.Errorf("wrong answer to %q: %q", c.Prompt, r.Text)
	}
	return nil
}

// plainCall calls the plain service and checks that it echoes this call's body.
func plainCall(ctx context.Context, client *http.Client, entry, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/services/app/log?n=1", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer site-key")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	var echo standin.Echo
	if err := json.NewDecoder(res.Body).Decode(&echo); err != nil {
		return err
	}
	if echo != (standin.Echo{Method: http.MethodPost, Path: "/log?n=1", Body: body}) {
		return errors.New("the plain service did not echo this call")
	}
	return nil
}
