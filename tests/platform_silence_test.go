package tests

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlatformSilentServerConnections guards against calls that are lost one after the other on idle
// connections to a server that went silent: after the first, a new connection is used.
func TestPlatformSilentServerConnections(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.putDocument()
	p.backends["app-1"] = startProcess(t, "app-1", "standin", "routed", "--instance", "app-1", "--delay", "200ms")
	way := newProxy(t, p.backends["app-1"].address("standin"))
	p.put("keyed.servers", "app-1", serverRecord("app", way.address(), "ready", 0))
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	call := func(id string) platformCall {
		return platformCall{id: id, method: http.MethodPost, target: "/once/" + id, key: "yard-key"}
	}
	var wg sync.WaitGroup
	for i := range 4 { // leaves idle connections
		wg.Go(func() {
			if res, _, err := p.do("front-1", call(fmt.Sprint("warm-", i))); err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("call before the silence: %v", err)
			}
		})
	}
	wg.Wait()
	way.silence()
	wg.Go(func() {
		res, _, err := p.do("front-1", call("lost"))
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusGatewayTimeout)
	})
	p.waitFor("the server is unresponsive", func() bool {
		return strings.Contains(p.fronts["front-1"].outputText(), `"@message":"backend server unresponsive`)
	})
	began := time.Now()
	res, _, err := p.do("front-1", call("next"))
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(time.Since(began) < time.Second)
	wg.Wait()
}
