package eventstream

import (
	"bytes"
	"mime"
	"net/http"
)

// eventStreamType is the media type of an event stream.
const eventStreamType = "text/event-stream"

// IsEventStream reports whether a response with the header is an event stream.
func IsEventStream(header http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(header.Get("Content-Type"))
	return mediaType == eventStreamType
}

// responseBegin is how the head of a response begins. No field of an event has such a name.
var responseBegin = []byte("HTTP/1.")

// IsResponse reports whether a part of a stream that begins between events is the beginning of another response.
func IsResponse(part []byte) bool {
	return bytes.HasPrefix(bytes.TrimLeft(part, "\r\n"), responseBegin)
}

// Cut returns the first event of p, up to and including the blank line that ends it, and the rest.
// ok is false if p holds no whole event. The first searched bytes of p are known to hold none.
func Cut(p []byte, searched int) (event, rest []byte, ok bool) {
	// The longest end of an event that may have begun there has three bytes.
	for i := max(searched-2, 0); i < len(p)-1; i++ {
		end := 0
		switch {
		case p[i] == '\n' && p[i+1] == '\n', p[i] == '\r' && p[i+1] == '\r':
			end = i + 2
		case p[i] == '\n' && p[i+1] == '\r' && i+2 < len(p) && p[i+2] == '\n':
			end = i + 3
		}
		if end > 0 {
			return p[:end], p[end:], true
		}
	}
	return nil, p, false
}

// Tracker follows a stream and knows whether it has ended inside an event. The zero value is at the
// beginning of a stream.
type Tracker struct {
	// inLine is set inside a line, and inComment if that line is a comment.
	inLine, inComment bool
	// hasField is set after a field, until a blank line ends its event.
	hasField bool
	// afterCR is set after a carriage return: a line feed then belongs to the same line end.
	afterCR bool
	// hasCRLF is set after a line that both ended: a carriage return alone is then half the end of a line.
	hasCRLF bool
}

// Track processes the next bytes of the stream.
func (t *Tracker) Track(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n' && t.afterCR:
			t.hasCRLF = true
		case b == '\n' || b == '\r':
			t.endLine()
		case !t.inLine:
			t.inLine, t.inComment = true, b == ':'
		}
		t.afterCR = b == '\r'
	}
}

// endLine processes the end of a line.
func (t *Tracker) endLine() {
	switch {
	case !t.inLine:
		t.hasField = false
	case !t.inComment:
		t.hasField = true
	}
	t.inLine, t.inComment = false, false
}

// InsideEvent reports whether the stream, if it ended here, would end inside an event, a line or the end of a line.
func (t *Tracker) InsideEvent() bool { return t.inLine || t.hasField || t.afterCR && t.hasCRLF }
