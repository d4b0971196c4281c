package httpconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/joomcode/errorx"
)

const (
	// MaxHeadBytes limits the head of a response: its status line and header.
	MaxHeadBytes = 64 << 10
	// maxHeadLines limits its lines, as each takes much more memory than its bytes.
	maxHeadLines = 512
	// headPrefix is how each response begins.
	headPrefix = "HTTP/"
)

// Errors of a response's head. What was read belongs to no response.
var (
	// ErrNotHTTP means that the bytes are not the beginning of an HTTP response.
	ErrNotHTTP = errorx.IllegalFormat.New("the response is not HTTP")
	// ErrHeadTooLong means that a head exceeds MaxHeadBytes or maxHeadLines.
	ErrHeadTooLong = errorx.IllegalFormat.New("the head of the response is too long")
)

// HeadReader reads HTTP responses from a connection and bounds their heads: http.ReadResponse keeps what
// it reads of a head in memory, without a limit.
type HeadReader struct {
	// Reader is the buffered input. It must be read through this field only.
	Reader *bufio.Reader

	limit headLimit
}

// NewHeadReader returns a HeadReader for the input.
func NewHeadReader(input io.Reader) *HeadReader {
	h := &HeadReader{limit: headLimit{input: input}}
	h.Reader = bufio.NewReader(&h.limit)
	return h
}

// ReadResponse reads the head of the response to a request. The error is ErrNotHTTP, ErrHeadTooLong or
// ErrFraming if the input is no response to use; the connection must then be closed, as the input may have no end.
func (h *HeadReader) ReadResponse(req *http.Request) (*http.Response, error) {
	h.limit.begin()
	defer h.limit.end()
	for i := range headPrefix {
		// An error is found again by http.ReadResponse.
		if begin, err := h.Reader.Peek(i + 1); err == nil && begin[i] != headPrefix[i] {
			return nil, errorx.Decorate(ErrNotHTTP, "it begins with %q", begin)
		}
	}
	buffered, err := h.Reader.Peek(h.Reader.Buffered())
	if err != nil {
		return nil, err
	}
	h.limit.framing.begin()
	h.limit.framing.scan(buffered)
	res, err := http.ReadResponse(h.Reader, req)
	if h.limit.framing.faulty {
		return nil, ErrFraming
	}
	if err != nil && h.limit.exceeded() {
		// http.ReadResponse may report the line at which the input ended.
		return nil, errorx.Decorate(ErrHeadTooLong, "more than %d bytes or %d lines", MaxHeadBytes, maxHeadLines)
	}
	return res, err
}

// headLimit is an input that ends with ErrHeadTooLong if a head is too long.
type headLimit struct {
	input io.Reader
	// inHead is set while a head is read. left is the number of bytes that may still be read of it, and
	// lines counts those read.
	inHead      bool
	left, lines int
	framing     framingCheck
}

func (l *headLimit) begin() { l.inHead, l.left, l.lines = true, MaxHeadBytes, 0 }

func (l *headLimit) end() { l.inHead = false }

// exceeded reports whether the head is too long if it goes on.
func (l *headLimit) exceeded() bool { return l.left <= 0 || l.lines > maxHeadLines }

// Read implements io.Reader. A head is read on only if all that was read before belongs to it.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.input.Read(p)
	}
	if l.exceeded() {
		return 0, ErrHeadTooLong
	}
	n, err := l.input.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.lines += bytes.Count(p[:n], []byte("\n"))
	l.framing.scan(p[:n])
	return n, err
}
