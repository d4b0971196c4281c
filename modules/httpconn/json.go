package httpconn

import (
	"errors"
	"mime"
	"net/http"
	"strings"
)

// ErrCutJSON means that a response without length or chunks ended inside its JSON body.
var ErrCutJSON = errors.New("the response ended inside its JSON body")

// maxJSONDepth bounds the nesting of a body that is followed.
const maxJSONDepth = 512

// JSONEnd is what a body shows about its end.
type JSONEnd int

const (
	// JSONUnknown means that the body shows nothing: it may be no object or array of JSON.
	JSONUnknown JSONEnd = iota
	// JSONIncomplete means that an object or array is open.
	JSONIncomplete
	// JSONComplete means that the body is one object or array, which is closed.
	JSONComplete
)

// JSONCheck follows a JSON body, however it is divided, and holds none of it. It finds where the body ends, and does not
// check its syntax beyond that. A nil one knows nothing.
type JSONCheck struct {
	// closers are the brackets that close what is open, the last one first to come.
	closers          []byte
	inString, escape bool
	// closed is set behind the object or array, and odd once the body is no JSON of this kind.
	closed, odd bool
}

// NewJSONCheck returns the check of a response that only the end of its connection ends; nil if its body is not JSON.
func NewJSONCheck(res *http.Response) *JSONCheck {
	if !CloseDelimited(res) || res.Header.Get("Content-Encoding") != "" {
		return nil
	}
	switch kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type")); {
	case err != nil, kind == "application/stream+json": // a sequence of objects
		return nil
	case kind == "application/json", strings.HasSuffix(kind, "+json"):
		return &JSONCheck{}
	}
	return nil
}

// End returns what the bytes so far show about the body if they are all of it.
func (c *JSONCheck) End() JSONEnd {
	switch {
	case c == nil || c.odd:
		return JSONUnknown
	case c.closed:
		return JSONComplete
	case len(c.closers) > 0:
		return JSONIncomplete
	}
	return JSONUnknown
}

// Scan processes the next bytes.
func (c *JSONCheck) Scan(p []byte) {
	if c == nil {
		return
	}
	for _, b := range p {
		if c.odd {
			return
		}
		if c.inString {
			c.scanString(b)
		} else {
			c.scanStructure(b)
		}
	}
}

func (c *JSONCheck) scanString(b byte) {
	switch {
	case b < ' ':
		c.odd = true // JSON has escapes for control characters
	case c.escape:
		c.escape = false
	case b == '\\':
		c.escape = true
	case b == '"':
		c.inString = false
	}
}

func (c *JSONCheck) scanStructure(b byte) {
	inside := len(c.closers) > 0
	switch {
	case strings.IndexByte(" \t\r\n", b) >= 0:
	case c.closed:
		c.odd = true
	case b == '{':
		c.open('}')
	case b == '[':
		c.open(']')
	case inside && b == c.closers[len(c.closers)-1]:
		c.closers = c.closers[:len(c.closers)-1]
		c.closed = len(c.closers) == 0
	case inside && b == '"':
		c.inString = true
	default:
		c.odd = !inside || strings.IndexByte(",:+-.0123456789Eaeflnrstu", b) < 0
	}
}

func (c *JSONCheck) open(closer byte) {
	if len(c.closers) == maxJSONDepth {
		c.odd = true
		return
	}
	c.closers = append(c.closers, closer)
}
