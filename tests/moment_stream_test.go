package tests

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// momentTries is how often a caller sends a stream at most, momentTimeout the time that it has for all tries, and momentGap
	// the time without a byte after which it leaves.
	momentTries   = 5
	momentTimeout = 4 * time.Second
	momentGap     = 1500 * time.Millisecond
)

// momentCall is an attempt of a caller, whose response can be read while it arrives.
type momentCall struct {
	soakCall
	// signature and responseID are headers of the response.
	signature, responseID string
	// leave has the caller close its connection.
	leave context.CancelFunc
	// early is the number of events after which the caller leaves; 0 if it stays.
	early int

	mu sync.Mutex
}

// momentChain is a stream as a caller puts it together of attempts that follow each other.
type momentChain struct {
	orderStream
	// current is the attempt that runs.
	current *momentCall
}

// momentStream is a stream and all that its caller sent for it.
type momentStream struct {
	site      *momentSite
	n, events int
	kind      momentKind
	target    string
	deadline  time.Time
	// early is the number of events of the first attempt after which the caller leaves; 0 if it stays.
	early int

	mu     sync.Mutex
	calls  []*momentCall
	chains []*momentChain
	// callers is the number of chains that the caller still works on, once it has begun.
	callers int
	begun   bool
}

// newStream returns a stream of a number of events, or a call without events.
func (p *momentSite) newStream(n, events int, kind momentKind) *momentStream {
	s := &momentStream{site: p, n: n, events: events, kind: kind}
	switch kind {
	case momentOnce:
		s.events, s.target = 0, fmt.Sprintf("/once/m%d?origin", n)
	case momentRepeatable:
		s.events, s.target = 0, fmt.Sprintf("/safe/m%d?origin", n)
	case momentStreams:
		s.target = fmt.Sprintf("/chat/m%d?events=%d&origin", n, events)
	default:
		s.target = fmt.Sprintf("/chat/long/m%d?events=%d&origin", n, events)
	}
	return s
}

// send sends the stream from a front on, and takes it up until it is whole.
func (s *momentStream) send(front int) {
	s.deadline = time.Now().Add(momentTimeout)
	chain := &momentChain{}
	s.mu.Lock()
	s.chains = append(s.chains, chain)
	s.begun = true
	s.callers++
	s.mu.Unlock()
	s.goOn(chain, front)
}

// goOn sends attempts at the fronts in turn, or at each one twice, until the stream is whole, and again only what has not run or
// may be resumed.
func (s *momentStream) goOn(chain *momentChain, front int) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.callers--
	}()
	for try := range momentTries {
		if s.site.play.back {
			try /= 2
		}
		c := s.begin(chain, (front+try)%2)
		if c == nil {
			return
		}
		c.exchange()
		s.mu.Lock()
		chain.current = nil
		chain.problem = chain.addAttempt(c)
		done := chain.problem != nil || chain.whole
		s.mu.Unlock()
		switch {
		case done:
			return
		case c.retryAfter:
			s.site.wait(min(c.returnAfter, time.Until(s.deadline)/3))
		case !s.kind.repeatable() && c.status != 0:
			return
		case c.status == http.StatusOK:
			s.site.wait(s.site.play.pause)
		}
	}
}

// begin returns the next attempt of a chain; nil if no time is left.
func (s *momentStream) begin(chain *momentChain, front int) *momentCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &momentCall{}
	c.events, c.repeatable, c.timeout = s.events, s.kind.repeatable(), time.Until(s.deadline)
	if c.timeout < time.Millisecond {
		return nil
	}
	c.front = fmt.Sprint("front-", front+1)
	c.address = s.site.callers[c.front].address()
	c.platformCall = platformCall{id: fmt.Sprintf("m%d-%d", s.n, len(s.calls)), method: http.MethodPost, target: s.target, key: s.site.key(), body: []byte("x")}
	if chain.last > 0 {
		c.header = http.Header{"Last-Event-Id": {fmt.Sprint(chain.last)}, "Resumes": {chain.first}}
	}
	if len(s.calls) == 0 {
		c.early = s.early
	}
	s.calls = append(s.calls, c)
	chain.current = c
	return c
}

// addAttempt adds what an attempt got, and returns how it fails to continue the stream. The body of a call without events is
// checked where the servers that ran it are known.
func (c *momentChain) addAttempt(attempt *momentCall) *orderProblem {
	if attempt.events > 0 {
		return c.add(&attempt.soakCall)
	}
	c.attempts = append(c.attempts, &attempt.soakCall)
	c.whole = attempt.status == http.StatusOK && attempt.err == nil
	return nil
}

// exchange sends the attempt and reads its response. The caller leaves if nothing arrives for momentGap.
func (c *momentCall) exchange() {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	c.mu.Lock()
	c.leave = cancel
	c.sent = time.Now()
	c.mu.Unlock()
	defer func() { c.ended = time.Now() }()
	silent := time.AfterFunc(momentGap, cancel)
	defer silent.Stop()
	req, err := c.request(ctx, c.address, c.timeout)
	if err != nil {
		c.err = err
		return
	}
	res, err := (&foreignCaller{}).RoundTrip(req)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = res.Body.Close() }()
	c.begun(res)
	buffer := make([]byte, 4096)
	for {
		n, err := res.Body.Read(buffer)
		silent.Reset(momentGap)
		c.mu.Lock()
		c.data = append(c.data, buffer[:n]...)
		c.mu.Unlock()
		if c.early > 0 && bytes.Count(c.data, []byte("\n\n")) >= c.early {
			c.err = errLeft
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			c.err = err
			return
		}
	}
}

// begun records the head of the response.
func (c *momentCall) begun(res *http.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.signature, c.responseID = res.StatusCode, res.Header.Get(standin.HeaderRoutedSignature), res.Header.Get(standin.HeaderRoutedID)
	c.retryAfter = res.Header.Get("Retry-After") != ""
	if seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		c.returnAfter = time.Duration(seconds * float64(time.Second))
	}
}

// part returns what has arrived of a response, as for a caller that leaves now.
func (c *momentCall) part() *soakCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &soakCall{platformCall: c.platformCall, events: c.events, repeatable: c.repeatable, status: c.status, err: errLeft}
	out.data = slices.Clone(c.data)
	return out
}

// current returns the attempts that run.
func (s *momentStream) current() []*momentChain {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*momentChain
	for _, chain := range s.chains {
		if chain.current != nil {
			out = append(out, chain)
		}
	}
	return out
}

// leave has the caller close the connections of all attempts that run, and reports whether there are any.
func (s *momentStream) leave() bool {
	chains := s.current()
	for _, chain := range chains {
		if c := s.running(chain); c != nil {
			c.close()
		}
	}
	return len(chains) > 0
}

func (s *momentStream) running(chain *momentChain) *momentCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return chain.current
}

func (c *momentCall) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leave != nil {
		c.leave()
	}
}

// fork has the caller take the stream up at a front with what it has so far, while the attempt that runs goes on.
func (s *momentStream) fork(front int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, chain := range s.chains {
		if chain.current == nil {
			continue
		}
		other := &momentChain{}
		other.orderStream = chain.orderStream
		other.attempts, other.runs = slices.Clone(chain.attempts), slices.Clone(chain.runs)
		if other.problem = other.add(chain.current.part()); other.problem != nil {
			return true // the chain itself fails the same way
		}
		s.chains = append(s.chains, other)
		s.callers++
		s.site.work.Go(func() { s.goOn(other, front) })
		return true
	}
	return false
}
