package tests

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"github.com/runworks/runworks/modules/tracing"
	"github.com/runworks/runworks/routers/callers"
	"github.com/runworks/runworks/services/entry"
	"github.com/runworks/runworks/standin"
)

// openAIClient returns a client of the unmodified OpenAI library that calls an entry.
func openAIClient(w *simCluster) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://entry-1:70/v1/"), option.WithAPIKey(simKey), option.WithHTTPClient(w.client()),
	)
}

// TestClientLibrary checks that the OpenAI client library works unmodified: a chat completion, a
// streamed one, and the list of models.
func TestClientLibrary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, smallSpec)
		defer w.close()
		client := openAIClient(w)
		params := openai.ChatCompletionNewParams{
			Model: simModel, MaxCompletionTokens: openai.Int(12), MaxTokens: openai.Int(12),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("is the hake still frozen")},
		}
		want := strings.Join(standin.CompletionWords("is the hake still frozen", 12), " ")

		whole, err := client.Chat.Completions.New(t.Context(), params)
		is.NoErr(err)
		is.Equal(whole.Choices[0].Message.Content, want)

		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		is.NoErr(stream.Err())
		is.Equal(text, want)

		models, err := client.Models.List(t.Context())
		is.NoErr(err)
		is.Equal(len(models.Data), 1)
		is.Equal(models.Data[0].ID, simModel)
	})
}

// TestWrongInput makes the invalid calls of testdata/wrong_input. Each must get the error and
// outcome given there, and none may reach an engine.
func TestWrongInput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimCluster(t, smallSpec)
		defer w.close()
		client := w.client()
		datadriven.RunTest(t, "testdata/wrong_input", func(t *testing.T, d *datadriven.TestData) string {
			return scriptedCall(t, client, d)
		})
		if n := len(w.dispatches()); n != 0 {
			t.Errorf("%d invalid calls reached an engine", n)
		}
	})
}

// scriptedCall makes one call of a data file and returns its status, code, outcome and message. The
// arguments are method, path, key, size and the names of headers; the input is the body.
func scriptedCall(t *testing.T, client *http.Client, d *datadriven.TestData) string {
	t.Helper()
	arg := func(name, fallback string) string {
		for _, a := range d.CmdArgs {
			if a.Key == name {
				return a.Vals[0]
			}
		}
		return fallback
	}
	body := []byte(d.Input)
	if n, _ := strconv.Atoi(arg("size", "0")); n > 0 {
		body = bytes.Repeat([]byte("x"), n)
	}
	req, err := http.NewRequestWithContext(t.Context(), arg("method", "POST"), "http://entry-1:70"+arg("path", "/v1/completions"), bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	if key := arg("key", simKey); key != "none" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for _, name := range []string{"Runworks-Kind", "Runworks-Tier", "Runworks-Timeout", "Idempotency-Key"} {
		if value := arg(strings.ToLower(name), ""); value != "" {
			req.Header.Set(name, value)
		}
	}
	res, err := client.Do(req)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	var reply struct {
		Error struct {
			Message, Type, Code, Outcome string
		}
	}
	if err := json.NewDecoder(res.Body).Decode(&reply); err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s %s\n%s\n", res.StatusCode, reply.Error.Code, res.Header.Get("Runworks-Outcome"), reply.Error.Message)
}

// TestTruncatedBody sends a call with half of its body: it is refused and reaches no engine.
func TestTruncatedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, smallSpec)
		defer w.close()
		conn, err := w.net.Dial(t.Context(), "caller", "entry-1:70")
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+simKey+
			"\r\nContent-Length: 100\r\n\r\n{\"model\":")
		is.NoErr(err)
		res := make(chan string)
		go func() {
			line, _ := bufio.NewReader(conn).ReadString('\n')
			res <- line
		}()
		is.Equal(strings.TrimSpace(<-res), "HTTP/1.1 400 Bad Request") // after the time limit for a body
		_ = conn.Close()
		is.Equal(len(w.dispatches()), 0)
	})
}

// TestCallerDisconnects cancels a call in the middle of its stream. The engine's work must be
// cancelled and its slot released, as it would otherwise generate for a caller that has left.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimCluster(t, smallSpec)
		defer w.close()
		ctx, cancel := context.WithCancel(t.Context())
		c := w.call("entry-1", 1, 10_000)
		c.Stream = true
		done := make(chan *result)
		go func() { done <- c.do(ctx, w.client()) }()
		w.waitFor("the answer has started", callers.ReadHeaderTimeout, func() bool {
			return w.entry("entry-1").Entry.Status().Tiers["urgent"] == entry.TierStatus{Running: 1}
		})
		is.Equal(w.runningSlots(), 1)
		cancel()
		is.True(!(<-done).Complete)
		w.waitFor("the slot is free", callers.ReadHeaderTimeout, func() bool { return w.runningSlots() == 0 })
		is.Equal(w.entry("entry-1").Entry.Status().Tiers["urgent"], entry.TierStatus{})
		wasted := 0
		for _, e := range w.engines {
			wasted += e.Stats().WastedTokens
		}
		is.True(wasted > 0)
	})
}

// TestTraceHasEveryHop checks that the spans of all hops are in the trace that the caller started.
func TestTraceHasEveryHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		exporter := tracetest.NewInMemoryExporter()
		provider := sdktrace.NewTracerProvider(sdktrace.WithSyncer(exporter))
		spec := smallSpec
		spec.tracer = provider.Tracer("test")
		w := newSimCluster(t, spec)
		defer w.close()
		c := w.call("entry-1", 1, 5)
		c.Header = map[string]string{"Traceparent": "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}
		is.NoErr(c.check(t.Context(), w.client()))
		synctest.Wait()
		names := map[string]int{}
		for _, span := range exporter.GetSpans() {
			is.Equal(span.SpanContext.TraceID().String(), "0af7651916cd43dd8448eb211c80319c")
			names[span.Name]++
		}
		for _, name := range []string{tracing.SpanEntry, tracing.SpanWait, tracing.SpanClaim, tracing.SpanAgent, tracing.SpanBackend} {
			is.Equal(names[name], 1) // one span per hop
		}
	})
}

// runningSlots returns the number of slots in use at all agents.
func (w *simCluster) runningSlots() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.agents {
		n += a.daemon.Agent.Heartbeat().Running
	}
	return n
}
