package tests

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

const (
	// endlessServers is the number of servers of a service that send endless responses at once, and
	// manyEndlessCalls that of the calls they get.
	endlessServers   = 12
	manyEndlessCalls = 96
)

// TestPlatformManyEndlessServers guards against a front whose memory is enough for one server with endless
// responses, but not for all servers of a service.
func TestPlatformManyEndlessServers(t *testing.T) {
	for _, c := range []endlessCase{
		{kind: standin.EndlessHeader, service: "app", target: endlessOnce, sound: endlessStream},
		{kind: standin.EndlessBody, service: "app", target: endlessOnce, sound: endlessStream},
		{kind: standin.EndlessEvent, service: "llm", target: endlessStream, sound: endlessOnce},
	} {
		t.Run(string(c.kind), func(t *testing.T) {
			is := is.New(t)
			p := newBarePlatformSite(t)
			p.extraSettings = fmt.Sprintf("memory_mb: %d\nmax_response_bytes: %d\ncores: 1\n", endlessMemoryMB, maxResponse)
			p.putDocument()
			for i := range endlessServers {
				name := fmt.Sprintf("%s-%d", c.service, i)
				p.addServer(name)
				p.setFaults(p.backends[name], standin.RoutedFaults{Endless: c.kind, EndlessAnswers: manyEndlessCalls})
			}
			p.addServer(map[string]string{"app": "llm-1", "llm": "app-1"}[c.service])
			p.startFront("front-1")
			p.waitReady("front-1", 1)
			stop := make(chan struct{})
			sound := p.soundCalls("sound", c.sound, stop)
			var work sync.WaitGroup
			for i := range manyEndlessCalls {
				work.Go(func() {
					c.call(p, platformCall{id: fmt.Sprint("endless-", i), method: http.MethodPost, target: fmt.Sprintf(c.target, i), key: "yard-key"})
				})
			}
			work.Wait()
			close(stop)
			calls, lost := sound()
			is.True(calls > 0)
			is.NoErr(lost)
			peak := peakMemoryMB(t, p.fronts["front-1"].cmd.Process.Pid)
			t.Logf("peak of %d MB", peak)
			is.True(peak < endlessMemoryMB)
		})
	}
}

const (
	// identifyLimit is the time in which the caller of a response that only the end of its connection ends gets
	// that end.
	identifyLimit = 2 * time.Second
	// identifyBytes is how much is sent of an endless response to a status request, at most.
	identifyBytes = 64 << 20
)

// repeat sends begin and then part again and again, with pauses if they are above 0.
func repeat(begin, part string, every time.Duration) func(net.Conn) {
	return func(c net.Conn) {
		defer func() { _ = c.Close() }()
		_, err := io.WriteString(c, begin)
		ticks := time.NewTicker(max(every, time.Nanosecond))
		defer ticks.Stop()
		for n := 0; err == nil && n < identifyBytes; n += len(part) {
			if every > 0 {
				<-ticks.C
			}
			_, err = io.WriteString(c, part)
		}
		discard(c)
	}
}

// TestPlatformEndlessStatusResponse guards against a front that waits for the end of a response which has none
// to learn which server sends it, while its caller waits for the end of its stream.
func TestPlatformEndlessStatusResponse(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"header":      repeat("HTTP/1.1 200 OK\r\n", strings.Repeat("A: 0\r\n", 10_000), 0),
		"hints":       repeat("", "HTTP/1.1 103 Early Hints\r\nA: 0\r\n\r\n", 0),
		"body":        repeat("HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("0", 64<<10), 0),
		"slow header": repeat("HTTP/1.1 200 OK\r\nA: ", "0", 50*time.Millisecond),
		"slow body":   repeat("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", "0", 50*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p, path := newCloseDelimitedCutSite(t, 0, completeAtClose)
			res := p.beginStream()
			p.succeed("llm-1", path, acceptEach(t, serve))
			began := time.Now()
			_, err := io.ReadAll(res.Body)
			is.True(err != nil) // the response must not look complete
			is.True(time.Since(began) < identifyLimit)
			is.True(peakMemoryMB(t, p.fronts["front-1"].cmd.Process.Pid) < endlessMemoryMB)
		})
	}
}
