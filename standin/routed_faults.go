package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// RoutedFaults are the faults that a RoutedServer simulates. Each call that a fault applies to
// decrements its count; Limit, Draining and Backoff, the server report, apply until changed.
type RoutedFaults struct {
	// Reject is the number of calls rejected with status 503 and X-Not-Executed.
	Reject int `json:"turn_away"`
	// Unsolicited is the number of responses that are preceded by one that matches no request.
	Unsolicited int `json:"surplus"`
	// UnsolicitedStreams is the number of streams that are preceded by the beginning of another one, with the ID of another
	// call.
	UnsolicitedStreams int `json:"surplus_streams"`
	// Reset is the number of calls that are executed and whose connection is reset without a
	// response.
	Reset int `json:"reset"`
	// Unframed is the number of responses sent without a length, with a connection reset in
	// the middle of the body.
	Unframed int `json:"unframed"`
	// Fail is the number of calls that are executed and get status 500.
	Fail int `json:"fail"`
	// BreakAt, unless 0, is the number of the event in whose middle streams are aborted.
	BreakAt int `json:"break_at"`
	// Breaks is the number of streams that BreakAt applies to.
	Breaks int `json:"breaks"`
	// Rejoin is how calls that continue a stream are answered, and Rejoins the number of those that it
	// applies to.
	Rejoin  RejoinKind `json:"rejoin"`
	Rejoins int        `json:"rejoins"`
	// CloseDelimited has responses sent without length or chunks: the end of the connection ends
	// them, and a break looks the same. One without events is sent in two halves, with the delay between.
	CloseDelimited bool `json:"close_delimited"`
	// CloseDelimitedEach, unless 0, has each response sent like that whose number it divides.
	CloseDelimitedEach int `json:"close_delimited_each"`
	// StatusWaitMs is how long status requests wait for a slot, in milliseconds.
	StatusWaitMs int `json:"status_wait_ms"`
	// Limit, unless empty, is the reported rate limit in requests per second, from all fronts
	// together. The server does not enforce it.
	Limit string `json:"limit"`
	// Draining reports in each response that the server is draining.
	Draining bool `json:"leaving"`
	// Backoff, unless 0, rejects each call and asks its front for a back-off of that many
	// seconds.
	Backoff float64 `json:"rest"`
	// Endless is the kind of the endless responses, of which there are EndlessAnswers.
	Endless        EndlessKind `json:"endless"`
	EndlessAnswers int         `json:"endless_answers"`
	// Events is the form of the events of streams, and CloseEach, unless 0, the number of responses of which one says that
	// its connection closes.
	Events    RoutedEvents `json:"events"`
	CloseEach int          `json:"close_each"`
	// Bad makes a part of the calls fail or slow, as those of a bad version.
	Bad RoutedBadness `json:"bad"`
}

// RoutedBadness is how the calls of a server of a bad version end. The n-th call is bad if n times
// the share reaches a new whole number.
type RoutedBadness struct {
	// Fails and Slows are the shares of calls that get status 500 and that take SlowMs longer.
	Fails  float64 `json:"fails"`
	Slows  float64 `json:"slows"`
	SlowMs int     `json:"slow_ms"`
	// After is the number of calls that the server runs well before, Active the number of running
	// calls from which a call is bad, and Path how the paths of bad calls begin.
	After  int    `json:"after"`
	Active int    `json:"active"`
	Path   string `json:"path"`
}

// bad reports whether a call fails, and by how much it is delayed.
func (b *RoutedServer) bad(path string) (fails bool, delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &b.faults.Bad
	if f.Fails == 0 && f.Slows == 0 || len(b.calls) <= f.After || b.active < f.Active || !strings.HasPrefix(path, f.Path) {
		return false, 0
	}
	b.badCalls++
	reaches := func(share float64) bool {
		return int(share*float64(b.badCalls)) > int(share*float64(b.badCalls-1))
	}
	if reaches(f.Slows) {
		delay = time.Duration(f.SlowMs) * time.Millisecond
	}
	return reaches(f.Fails), delay
}

// SetFaults replaces the simulated faults.
func (b *RoutedServer) SetFaults(f RoutedFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// consume decrements the count of a fault and reports whether it was above 0.
func (b *RoutedServer) consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// plainFault returns which fault, of those of calls without events, applies to a call, and counts it.
func (b *RoutedServer) plainFault() (reset, unframed, unsolicited, fail bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reset = b.consume(&b.faults.Reset)
	unframed = !reset && b.consume(&b.faults.Unframed)
	unsolicited = !reset && !unframed && b.consume(&b.faults.Unsolicited)
	fail = !reset && !unframed && !unsolicited && b.consume(&b.faults.Fail)
	return reset, unframed, unsolicited, fail
}

// sendUnsolicited sends a response that matches no request, then the expected one with its signature.
func (b *RoutedServer) sendUnsolicited(w http.ResponseWriter, id, sign string, data []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s: nobody\r\nContent-Length: 5\r\n\r\nwrong", HeaderRoutedID)
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", HeaderRoutedID, id, HeaderRoutedSignature, sign, len(data))
	out.Write(data)
	_, _ = conn.Write(out.Bytes())
}

// behindUnsolicited sends the first events of another stream, as a response that comes late, and returns what the response
// that is due is written to.
func (b *RoutedServer) behindUnsolicited(w http.ResponseWriter, target string) (*oldResponse, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	events := slices.Concat(RoutedEvent(target, 1), RoutedEvent(target, 2))
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: nobody\r\n%s: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
		HeaderRoutedID, HeaderRoutedSignature, b.Instance, len(events), events)
	return &oldResponse{conn: conn, header: w.Header(), protocol: "HTTP/1.1"}, err
}

// resetConn writes data and resets the connection.
func resetConn(w http.ResponseWriter, data []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write(data)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// closeDelimited reports whether a response is sent without length or chunks, and counts it.
func (b *RoutedServer) closeDelimited() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responses++
	each := b.faults.CloseDelimitedEach
	return b.faults.CloseDelimited || each > 0 && b.responses%each == 0
}

// consumeBreak reports whether to abort a stream inside event n, and counts it.
func (b *RoutedServer) consumeBreak(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.BreakAt == n && b.consume(&b.faults.Breaks)
}

// EndlessKind is where in a response the bytes are that have no end.
type EndlessKind string

// Kinds of endless responses.
const (
	// EndlessBytes are no response at all, EndlessLine is a status line and EndlessHeader a header without
	// end.
	EndlessBytes  EndlessKind = "bytes"
	EndlessLine   EndlessKind = "line"
	EndlessHeader EndlessKind = "header"
	// EndlessBody is a body that only the end of its connection would end, EndlessChunks one in chunks, and
	// EndlessLength one that is announced to be very long.
	EndlessBody   EndlessKind = "body"
	EndlessChunks EndlessKind = "chunks"
	EndlessLength EndlessKind = "length"
	// EndlessEvent is an event of a stream without end, EndlessEvents are events and EndlessLines the ends of
	// lines.
	EndlessEvent  EndlessKind = "event"
	EndlessEvents EndlessKind = "events"
	EndlessLines  EndlessKind = "lines"
	// EndlessSurplus follows a whole response.
	EndlessSurplus EndlessKind = "surplus"
)

const (
	// endlessPart is the size of the pieces in which endless bytes are sent, and endlessBytes how many are
	// sent before the server waits for the caller to close: it bounds what a faulty caller keeps in memory.
	endlessPart  = 64 << 10
	endlessBytes = 64 << 20
)

// endless returns the beginning of an endless response and what is then repeated.
func (k EndlessKind) endless(id, target string, response []byte) (begin, repeated []byte) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", HeaderRoutedID, id, HeaderRoutedSignature, signature(response))
	stream := head + "Content-Type: text/event-stream\r\n\r\n"
	zeros := bytes.Repeat([]byte("0"), endlessPart)
	switch k {
	case EndlessLine:
		return []byte("HTTP/1.1 200 "), zeros
	case EndlessHeader:
		return []byte(head), bytes.Repeat([]byte("A: 0\r\n"), endlessPart/6)
	case EndlessBody:
		return []byte(head + "\r\n"), zeros
	case EndlessChunks:
		return []byte(head + "Transfer-Encoding: chunked\r\n\r\n"), fmt.Appendf(nil, "%x\r\n%s\r\n", len(zeros), zeros)
	case EndlessLength:
		return []byte(head + "Content-Length: 1000000000000\r\n\r\n"), zeros
	case EndlessEvent:
		return fmt.Append(nil, stream, "data: "), zeros
	case EndlessEvents:
		event := RoutedEvent(target, 1)
		return []byte(stream), bytes.Repeat(event, endlessPart/len(event))
	case EndlessLines:
		return []byte(stream), bytes.Repeat([]byte("\n"), endlessPart)
	case EndlessSurplus:
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(response), response), zeros
	}
	return nil, zeros
}

// sendEndless sends an endless response until the caller closes the connection.
func (b *RoutedServer) sendEndless(w http.ResponseWriter, kind EndlessKind, r *http.Request, response []byte) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	begin, repeated := kind.endless(r.Header.Get(HeaderRoutedID), r.RequestURI, response)
	sent, err := conn.Write(begin)
	for err == nil && sent < endlessBytes {
		var n int
		n, err = conn.Write(repeated)
		sent += n
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, buffered.Reader)
	}
}
