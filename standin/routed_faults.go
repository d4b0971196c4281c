package standin

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
)

// RoutedFaults are the settable faults of a Routed server; each but what the server says of
// itself is used up by the calls that it hits.
type RoutedFaults struct {
	// Reject answers that many calls with the word that they were not run.
	Reject int `json:"turn_away"`
	// Unsolicited sends, before that many answers, one that belongs to no request.
	Unsolicited int `json:"surplus"`
	// Reset runs that many calls and resets their connections without an answer.
	Reset int `json:"reset"`
	// Unframed sends that many answers without a length and resets the connection
	// in their middle.
	Unframed int `json:"unframed"`
	// Fail runs that many calls and answers 500.
	Fail int `json:"fail"`
	// BreakAt, unless zero, resets streams inside the event of that number.
	BreakAt int `json:"break_at"`
	// Breaks bounds how many streams BreakAt hits.
	Breaks int `json:"breaks"`
	// Limit, unless empty, is what each answer names as its limit, in requests a second from
	// all fronts together. Nothing is turned away for it.
	Limit string `json:"limit"`
	// Draining has each answer say that the server will end.
	Draining bool `json:"leaving"`
	// Backoff, unless zero, turns each call away, and asks its front to send nothing for so many
	// seconds.
	Backoff float64 `json:"rest"`
}

// SetFaults sets the faults from now on.
func (b *RoutedServer) SetFaults(f RoutedFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// spend uses a fault up.
func (b *RoutedServer) spend(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// surplus sends an answer to nobody's request, and then the right one.
func (b *RoutedServer) surplus(w http.ResponseWriter, id string, data []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s: nobody\r\nContent-Length: 5\r\n\r\nwrong", HeaderRoutedID)
	fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", HeaderRoutedID, id, HeaderRoutedSignature, signature(data), len(data))
	out.Write(data)
	_, _ = conn.Write(out.Bytes())
}

// resetConn writes what is given and resets the connection.
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

// breaks says whether a stream breaks inside an event.
func (b *RoutedServer) breaks(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults.BreakAt == n && b.spend(&b.faults.Breaks)
}
