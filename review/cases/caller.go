package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a caller's connection to a front. It is kept for many requests.
type channel struct {
	conn net.Conn
	br   *bufio.Reader
	// served is the number of complete answers so far.
	served int
}

// call is one client attempt.
type call struct {
	id, method, path string
	timeout          time.Duration
	header           map[string]string
	body             string
}

// answer is what a caller received.
type answer struct {
	status int
	body   []byte
	// complete is set if the answer ended as the protocol says.
	complete bool
	// closes is set if the front asks the caller to close the channel.
	closes bool
	err    error
}

// open opens a channel. A new one is given a second to come up.
func open(address string) (*channel, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, br: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

// do sends a request and reads the answer. A status of 0 means that the channel was closed, or the caller's
// time was over, before any answer.
func (c *channel) do(one *call, onEvent func(n int)) answer {
	_ = c.conn.SetDeadline(time.Now().Add(one.timeout))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: yard.example\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\nX-Credential: yard-key\r\n", one.method, one.path, one.id, one.timeout.Milliseconds())
	for name, value := range one.header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(one.body), one.body)
	if _, err := c.conn.Write(out.Bytes()); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(c.br, &http.Request{Method: one.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	a := answer{status: res.StatusCode, closes: res.Close}
	buffer := make([]byte, 4<<10)
	for {
		n, err := res.Body.Read(buffer)
		a.body = append(a.body, buffer[:n]...)
		if n > 0 && onEvent != nil {
			onEvent(events(a.body))
		}
		if errors.Is(err, io.EOF) {
			a.complete = true
			c.served++
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

// events returns the number of whole events of a stream.
func events(body []byte) int { return strings.Count(string(body), "\n\n") }

// text describes an answer for the record.
func (a *answer) text() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer, the channel ended: %v", a.err)
	case a.complete:
		return fmt.Sprintf("status %d, complete, %d bytes, %d events", a.status, len(a.body), events(a.body))
	}
	return fmt.Sprintf("status %d, broken off after %d bytes, %d events: %v", a.status, len(a.body), events(a.body), a.err)
}
