package httpconn

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
)

// Default settings of a pool.
const (
	// DefaultDialTimeout limits the opening of a connection within one region.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is how long an unused connection is kept if the server sends no
	// Keep-Alive timeout.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultMaxIdle limits the unused connections to one address.
	DefaultMaxIdle = 32
	// idleMargin is how much earlier than the server the pool closes an unused connection, to
	// allow for network latency.
	idleMargin = 500 * time.Millisecond
)

// Pool keeps connections by address. The exported fields must be set before use.
type Pool struct {
	// Dial opens a connection, like net.Dialer.DialContext.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout limits the opening of a connection; zero means DefaultDialTimeout.
	DialTimeout time.Duration
	// IdleTimeout limits how long an unused connection is kept; zero means DefaultIdleTimeout.
	// A shorter Keep-Alive timeout of the server takes precedence.
	IdleTimeout time.Duration
	// MaxIdle limits the unused connections to one address; zero means DefaultMaxIdle, and a negative
	// value keeps none.
	MaxIdle int
	// ProbeTimeout limits the opening of each connection by WatchExit, and to a server that is asked which
	// one it is; each wait for the answer of that has as long at least. Zero means DefaultProbeTimeout.
	ProbeTimeout time.Duration
	// MatchResponse reports whether a response belongs to a request; nil accepts every response.
	MatchResponse func(req *http.Request, res *http.Response) bool
	// WhichServer returns whether the response to a request of Call.Identify comes from the server that it
	// names: ServerSame, ServerUnhealthy, ServerReplaced or ServerUnnamed. It must be set if calls have Identify.
	WhichServer func(req *http.Request, res *http.Response) ServerState

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection, used by one request at a time.
type conn struct {
	net.Conn
	address string
	heads   *HeadReader
	expires time.Time
	// serverIdleTimeout is the last Keep-Alive timeout that the server sent; 0 if none.
	serverIdleTimeout time.Duration
}

// get returns a pooled connection or opens one; the error is ErrNotDispatched.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	if c := p.takeUsable(address); c != nil {
		return c, nil
	}
	c, err := p.open(ctx, address, orDefault(p.DialTimeout, DefaultDialTimeout))
	if err != nil {
		return nil, errorx.Decorate(runworks.ErrNotDispatched, "reach %s: %v", address, err)
	}
	return c, nil
}

// open opens a connection with a timeout; the error is that of Dial.
func (p *Pool) open(ctx context.Context, address string, limit time.Duration) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, address: address, heads: NewHeadReader(raw)}, nil
}

// takeUsable returns an unused connection that is open and has nothing to read; nil if there is none.
func (p *Pool) takeUsable(address string) *conn {
	for {
		c := p.takeIdle(address)
		if c == nil || time.Now().Before(c.expires) && c.isIdle() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put returns a connection to the pool.
func (p *Pool) put(c *conn) {
	keep := orDefault(p.IdleTimeout, DefaultIdleTimeout)
	if c.serverIdleTimeout > 0 {
		keep = min(keep, c.serverIdleTimeout-idleMargin)
	}
	if keep <= 0 {
		_ = c.Close()
		return
	}
	c.expires = time.Now().Add(keep)
	maxIdle := p.MaxIdle
	if maxIdle == 0 {
		maxIdle = DefaultMaxIdle
	}
	if !p.addIdle(c, maxIdle) {
		_ = c.Close()
	}
}

// addIdle adds an unused connection unless there are maxIdle already.
func (p *Pool) addIdle(c *conn, maxIdle int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		return false
	}
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return true
}

// Close closes all unused connections.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, list := range idle {
		closeAll(list)
	}
}

// CloseIdle closes the unused connections to an address. It is used when the server there has
// exited or another one has its address, as a request that is sent on one of them would be lost.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(list)
}

func closeAll(list []*conn) {
	for _, c := range list {
		_ = c.Close()
	}
}

// readKeepAlive reads the timeout parameter of the Keep-Alive header.
func (c *conn) readKeepAlive(res *http.Response) {
	for _, part := range strings.Split(res.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.serverIdleTimeout = time.Duration(n) * time.Second
		}
	}
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}
