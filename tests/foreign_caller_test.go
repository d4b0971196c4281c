package tests

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
)

// errBroken is the error of a response that ends before it is complete, or that is not one of HTTP.
var errBroken = errors.New("broken response")

// brokenf returns an errBroken that wraps no cause, as readers take io.EOF for the end of the data.
func brokenf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// foreignCaller is a caller that shares no code with the fronts: it writes its requests and parses their responses itself.
// Each request has a connection of its own.
type foreignCaller struct {
	// old has it send requests of HTTP/1.0, whose responses may have neither length nor chunks.
	old bool
}

// RoundTrip implements http.RoundTripper.
func (f *foreignCaller) RoundTrip(req *http.Request) (*http.Response, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(req.Context(), "tcp", req.URL.Host)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(req.Context(), func() { _ = conn.Close() })
	res, err := f.exchange(conn, req)
	if err != nil {
		release()
		_ = conn.Close()
		return nil, errors.Join(err, req.Context().Err())
	}
	return res, nil
}

func (f *foreignCaller) exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	var out bytes.Buffer
	version := "1.1"
	if f.old {
		version = "1.0"
	}
	fmt.Fprintf(&out, "%s %s HTTP/%s\r\nhost: %s\r\n", req.Method, req.URL.RequestURI(), version, req.Host)
	if !f.old {
		out.WriteString("connection: close\r\n")
	}
	for name, values := range req.Header {
		for _, value := range values {
			fmt.Fprintf(&out, "%s: %s\r\n", strings.ToLower(name), value)
		}
	}
	fmt.Fprintf(&out, "content-length: %d\r\n\r\n", req.ContentLength)
	if _, err := io.Copy(&out, req.Body); err != nil {
		return nil, err
	}
	if _, err := conn.Write(out.Bytes()); err != nil {
		return nil, err
	}
	return readForeign(conn, f.old)
}

// readForeign reads the head of a response. Its body fails with errBroken unless the response is complete.
func readForeign(conn io.ReadCloser, old bool) (*http.Response, error) {
	b := &foreignBody{Closer: conn, reader: bufio.NewReader(conn)}
	for {
		res, err := b.readHead()
		if err != nil {
			return nil, err
		}
		if res.StatusCode/100 != 1 {
			res.Body = b
			return res, b.frame(res, old)
		}
	}
}

// foreignBody is the body of a response.
type foreignBody struct {
	io.Closer
	reader *bufio.Reader
	// left is what is left of the length or the chunk. One of chunked and unframed is set if there is no length.
	left              int64
	chunked, unframed bool
	// begun is set after the first chunk, done after the last byte, and events in a stream, of which tail are the last bytes.
	begun, done, events bool
	tail                []byte
}

// line reads a line, which CR and LF end.
func (b *foreignBody) line() (string, error) {
	text, err := b.reader.ReadString('\n')
	if err != nil {
		return "", brokenf("after %q: %v", text, err)
	}
	line, ok := strings.CutSuffix(text, "\r\n")
	if !ok || strings.ContainsAny(line, "\r\x00") {
		return "", brokenf("line %q", text)
	}
	return line, nil
}

// fields reads headers or a trailer, up to the empty line.
func (b *foreignBody) fields() (http.Header, error) {
	fields := http.Header{}
	for {
		line, err := b.line()
		if err != nil || line == "" {
			return fields, err
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t\"(),/;<=>?@[\\]{}") {
			return nil, brokenf("header %q", line)
		}
		fields.Add(name, strings.Trim(value, " \t"))
	}
}

func (b *foreignBody) readHead() (*http.Response, error) {
	line, err := b.line()
	if err != nil {
		return nil, err
	}
	res := &http.Response{Status: line}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	res.StatusCode, err = strconv.Atoi(code)
	if err != nil || len(code) != 3 || res.StatusCode < 100 || version != "HTTP/1.0" && version != "HTTP/1.1" {
		return nil, brokenf("status line %q", line)
	}
	res.Proto = version
	res.Header, err = b.fields()
	return res, err
}

// frame finds out what ends the body.
func (b *foreignBody) frame(res *http.Response, old bool) error {
	b.events = strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
	lengths, codings := res.Header.Values("Content-Length"), res.Header.Values("Transfer-Encoding")
	switch {
	case len(codings) > 0:
		b.chunked = true
		if len(codings) > 1 || !strings.EqualFold(codings[0], "chunked") || len(lengths) > 0 || old || res.Proto == "HTTP/1.0" {
			return brokenf("codings %q with lengths %q in %s", codings, lengths, res.Proto)
		}
	case len(lengths) > 0:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || len(lengths) > 1 {
			return brokenf("lengths %q", lengths)
		}
		b.left = int64(n)
		b.done = n == 0
	default:
		b.unframed = true
	}
	if res.StatusCode == http.StatusNoContent || res.StatusCode == http.StatusNotModified {
		b.left, b.chunked, b.unframed, b.done = 0, false, false, true
	}
	return nil
}

// Read implements io.Reader.
func (b *foreignBody) Read(p []byte) (int, error) {
	if b.chunked && b.left == 0 && !b.done {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if b.done {
		// The server closes the connection, as the request asks it to.
		if surplus, _ := b.reader.Peek(1); len(surplus) > 0 {
			return 0, brokenf("bytes behind its end")
		}
		return 0, io.EOF
	}
	if !b.unframed {
		p = p[:min(int64(len(p)), b.left)]
	}
	n, err := b.reader.Read(p)
	b.tail = append(b.tail, p[:n]...)
	b.tail = b.tail[max(0, len(b.tail)-2):]
	if b.unframed {
		if errors.Is(err, io.EOF) && b.events && len(b.tail) > 0 && string(b.tail) != "\n\n" {
			return n, brokenf("it ends inside an event")
		}
		return n, err
	}
	b.left -= int64(n)
	b.done = b.left == 0 && !b.chunked
	if err != nil {
		return n, brokenf("%d bytes left: %v", b.left, err)
	}
	return n, nil
}

// nextChunk reads the end of a chunk and the size of the next one, or the trailer behind the last one.
func (b *foreignBody) nextChunk() error {
	if b.begun {
		if line, err := b.line(); err != nil || line != "" {
			return brokenf("%q ends a chunk: %v", line, err)
		}
	}
	b.begun = true
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimRight(size, " \t"), 16, 62)
	if err != nil {
		return brokenf("size %q of a chunk", line)
	}
	b.left = int64(n)
	if n == 0 {
		_, err = b.fields()
		b.done = err == nil
	}
	return err
}

// TestForeignCallerTellsCutResponses guards against a foreign caller that takes a cut or malformed response for a complete
// one, or a complete one for cut.
func TestForeignCallerTellsCutResponses(t *testing.T) {
	const (
		stream  = "HTTP/1.0 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
		chunked = "HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked\r\n\r\n"
		length  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	)
	reset := errors.New("reset")
	for _, one := range []struct {
		name, sent string
		end        error
		old        bool
		// body is that of a response that is complete; "-" if it is not.
		body string
	}{
		{"length", length + "hello", io.EOF, false, "hello"},
		{"length, reset behind it", length + "hello", reset, false, "hello"},
		{"length, closed", length + "hell", io.EOF, false, "-"},
		{"length, reset", length + "hell", reset, false, "-"},
		{"more than its length", length + "hello!", io.EOF, false, "-"},
		{"two lengths", strings.Replace(length, "\r\n\r\n", "\r\nContent-Length: 4\r\n\r\n", 1) + "hello", io.EOF, false, "-"},
		{"signed length", strings.Replace(length, "5", "+5", 1) + "hello", io.EOF, false, "-"},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", io.EOF, false, ""},
		{"behind an interim response", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + length + "hello", io.EOF, false, "hello"},
		{"chunks", chunked + "3;x=y\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", io.EOF, false, "hello"},
		{"chunks with a trailer", chunked + "5\r\nhello\r\n0\r\nsum: 1\r\n\r\n", io.EOF, false, "hello"},
		{"closed in a trailer", chunked + "5\r\nhello\r\n0\r\nsum: 1\r\n", io.EOF, false, "-"},
		{"closed behind a last chunk", chunked + "5\r\nhello\r\n0\r\n", io.EOF, false, "-"},
		{"closed between chunks", chunked + "5\r\nhello\r\n", io.EOF, false, "-"},
		{"closed inside a chunk", chunked + "5\r\nhel", io.EOF, false, "-"},
		{"reset between chunks", chunked + "5\r\nhello\r\n", reset, false, "-"},
		{"chunk without its end", chunked + "5\r\nhello0\r\n\r\n", io.EOF, false, "-"},
		{"chunk without a size", chunked + "\r\nhello\r\n0\r\n\r\n", io.EOF, false, "-"},
		{"lines without CR", strings.ReplaceAll(chunked+"5\r\nhello\r\n0\r\n\r\n", "\r", ""), io.EOF, false, "-"},
		{"chunks and a length", strings.Replace(chunked, "\r\n\r\n", "\r\nContent-Length: 5\r\n\r\n", 1) + "5\r\nhello\r\n0\r\n\r\n", io.EOF, false, "-"},
		{"chunks for a caller of HTTP/1.0", chunked + "5\r\nhello\r\n0\r\n\r\n", io.EOF, true, "-"},
		{"unknown coding", strings.Replace(chunked, "Chunked", "gzip", 1) + "hello", io.EOF, false, "-"},
		{"closed", stream + "id: 1\n\n", io.EOF, true, "id: 1\n\n"},
		{"closed, for a caller of HTTP/1.1", stream + "id: 1\n\n", io.EOF, false, "id: 1\n\n"},
		{"closed before the first event", stream, io.EOF, true, ""},
		{"closed inside an event", stream + "id: 1\n\nid: 2\n", io.EOF, true, "-"},
		{"reset", stream + "id: 1\n\n", reset, true, "-"},
		{"closed, of another type", "HTTP/1.0 200 OK\r\n\r\nhello", io.EOF, true, "hello"},
		{"closed in the head", "HTTP/1.1 200 OK\r\nContent-Le", io.EOF, false, "-"},
		{"no response", "", io.EOF, false, "-"},
		{"header with a space before its colon", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello", io.EOF, false, "-"},
		{"folded header", "HTTP/1.1 200 OK\r\nx: a\r\n b: c\r\nContent-Length: 5\r\n\r\nhello", io.EOF, false, "-"},
		{"another protocol", "HTTP/2 200\r\n\r\n", io.EOF, false, "-"},
	} {
		for name, pieces := range map[string]func(io.Reader) io.Reader{"bytes": iotest.OneByteReader, "halves": iotest.HalfReader} {
			conn := pieces(io.MultiReader(strings.NewReader(one.sent), iotest.ErrReader(one.end)))
			res, err := readForeign(io.NopCloser(conn), one.old)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(res.Body)
			}
			// A broken response is no end of the data for readers that look for that alone.
			if whole := one.body != "-"; (err == nil) != whole || whole && string(body) != one.body || errors.Is(err, io.EOF) {
				t.Errorf("%s, in %s: %q, %v", one.name, name, body, err)
			}
		}
	}
}
