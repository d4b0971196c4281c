package tests

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// cutCluster is a site with one entry and agents whose servers cut their responses.
type cutCluster struct {
	*site
	servers map[string]*cutServer
}

func newCutCluster(t testing.TB) *cutCluster {
	t.Helper()
	c := &cutCluster{site: &site{t: t, dir: t.TempDir(), backends: map[string]*process{}, agents: map[string]*process{}, entries: map[string]*process{}}, servers: map[string]*cutServer{}}
	c.log = startProcess(t, "log", "standin", "log")
	c.hosts = startProcess(t, "hosts", "standin", "hosts")
	specs := []serverSpec{{name: "app-1", plain: true, slots: 4}, {name: "llm-1", slots: 4}}
	for _, spec := range specs {
		s := newCutServer(t)
		c.servers[spec.name] = s
		c.backends[spec.name] = &process{t: t, name: spec.name, addresses: map[string]string{"standin": s.address()}}
	}
	c.apply(specs)
	for _, spec := range specs {
		c.startAgent(spec.name)
	}
	c.startEntry("entry-1")
	c.waitConnected("entry-1", len(specs))
	return c
}

// requestOf returns the path of a call to a server at the entry, its body, and both as the server gets them. The
// body has the name.
func requestOf(server, name string) (path, body, atServer string) {
	body = fmt.Sprintf(`{"model":"site-model","prompt":%q,"max_tokens":1,"stream":true}`, name)
	if server == "app-1" {
		return "/services/app/log", body, "/log" + body
	}
	return "/v1/completions", body, "/v1/completions" + body
}

// set sets the response to the calls of a name.
func (c *cutCluster) set(server, name string, r cutResponse) {
	_, _, atServer := requestOf(server, name)
	c.servers[server].set(atServer, r)
}

// arrivals returns how many calls of a name have arrived at a server.
func (c *cutCluster) arrivals(server, name string) int {
	_, _, atServer := requestOf(server, name)
	return c.servers[server].arrivals(atServer)
}

// call makes a call under an idempotency key, which is its name too, and returns the status, the body and the
// error of reading it.
func (c *cutCluster) call(server, key string) (status int, data string, err error) {
	path, body, _ := requestOf(server, key)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+c.entries["entry-1"].address("callers")+path,
		io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer site-key")
	req.Header.Set(runworks.HeaderKind, "once")
	req.Header.Set(runworks.HeaderIdempotencyKey, key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	all, err := io.ReadAll(res.Body)
	return res.StatusCode, string(all), err
}

// looksWhole reports whether a caller takes what it got for a whole response.
func looksWhole(status int, err error) bool { return err == nil && status < 300 }

// newKey returns a new idempotency key.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// eachResponse runs a test with each response of each server.
func (c *cutCluster) eachResponse(t *testing.T, test func(t *testing.T, server string, r *framedResponse)) {
	t.Helper()
	for server, list := range map[string][]framedResponse{"app-1": plainResponses, "llm-1": streamResponses} {
		for _, r := range list {
			t.Run(server+" "+r.name, func(t *testing.T) { test(t, server, &r) })
		}
	}
}

// TestCutResponseLooksWhole guards against a response that breaks off, where its framing shows it or, without a length
// or chunks, anywhere, and reaches the caller of an entry as a whole one, at once or when the call is repeated with its
// idempotency key.
func TestCutResponseLooksWhole(t *testing.T) {
	c := newCutCluster(t)
	c.eachResponse(t, func(t *testing.T, server string, r *framedResponse) {
		check := func(cut cutResponse) { c.checkCut(t, server, r, cut) }
		n := r.eachCut(check)
		if r.untilClosed {
			for i := range len(r.body) {
				check(cutResponse{data: r.head + r.body[:i]})
				n++
			}
		}
		t.Logf("%d cuts, each called for twice", n)
		c.wholeCalls(t, server, r)
	})
}

// checkCut checks that a cut response does not look whole, also to a caller that repeats the call when the server
// would send all of it.
func (c *cutCluster) checkCut(t *testing.T, server string, r *framedResponse, cut cutResponse) {
	t.Helper()
	key := newKey()
	c.set(server, key, cut)
	if status, body, err := c.call(server, key); looksWhole(status, err) {
		t.Errorf("status %d and %q of %q (reset %v)", status, body, cut.data, cut.reset)
	}
	c.set(server, key, cutResponse{data: r.head + r.body, whole: true})
	if status, body, err := c.call(server, key); looksWhole(status, err) {
		t.Errorf("remembered: status %d and %q of %q (reset %v)", status, body, cut.data, cut.reset)
	}
	if n := c.arrivals(server, key); n != 1 {
		t.Errorf("%d requests of one key", n)
	}
}

// wholeCalls makes a call whose response is whole, and repeats it with its key. Of a plain service nothing but
// JSON can tell that a response without length or chunks is. The server closes its connection behind the response, which a
// call that is sent at the same moment may cross: none is sent before that.
func (c *cutCluster) wholeCalls(t *testing.T, server string, r *framedResponse) {
	t.Helper()
	is := is.New(t)
	key := newKey()
	c.set(server, key, cutResponse{data: r.head + r.body, whole: true})
	for range 2 {
		status, body, err := c.call(server, key)
		if r.untilClosed && !r.json && server == "app-1" {
			is.True(!looksWhole(status, err))
			continue
		}
		is.NoErr(err)
		is.Equal(fmt.Sprint(status, body), fmt.Sprint(http.StatusOK, r.want))
	}
	is.Equal(c.arrivals(server, key), 1)
	c.waitFor("the server has closed its connections", c.servers[server].hasClosed)
}

// TestJoinedCutResponseLooksWhole guards against a response that breaks off after a second caller has joined its
// run, and reaches that caller as a whole one.
func TestJoinedCutResponseLooksWhole(t *testing.T) {
	c := newCutCluster(t)
	c.eachResponse(t, func(t *testing.T, server string, r *framedResponse) {
		for i, cut := range r.cuts() {
			if i%joinedCutsStep != 0 && cut.data != r.head {
				continue
			}
			key, hold := newKey(), make(chan struct{})
			cut.hold = hold
			c.set(server, key, cut)
			var callers sync.WaitGroup
			call := func(which string) {
				if status, body, err := c.call(server, key); looksWhole(status, err) {
					t.Errorf("%s: status %d and %q of %q (reset %v)", which, status, body, cut.data, cut.reset)
				}
			}
			callers.Go(func() { call("first") })
			c.waitFor("the first call runs", func() bool { return c.arrivals(server, key) == 1 })
			joined := c.joins()
			callers.Go(func() { call("joined") })
			c.waitFor("the second call has joined", func() bool { return c.joins() > joined })
			close(hold)
			callers.Wait()
		}
	})
}

// joinedCutsStep is the distance in the list of cuts between two that a second caller joins.
const joinedCutsStep = 40

// joins returns how often the entry has requested the response of a run again.
func (c *cutCluster) joins() int {
	c.t.Helper()
	res, err := http.Get("http://" + c.entries["entry-1"].address("operators") + "/metrics")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	n := 0
	_, after, _ := strings.Cut(string(data), "\nrunworks_resumes_total ")
	_, _ = fmt.Sscan(after, &n) // it is absent before the first one
	return n
}
