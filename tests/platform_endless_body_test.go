package tests

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// TestPlatformEndlessBodyIsPassedOn guards against a front that passes a body without end on until the time
// limit of its call, and holds up the calls of sound servers.
func TestPlatformEndlessBodyIsPassedOn(t *testing.T) {
	for _, c := range []endlessCase{
		{kind: standin.EndlessBody, service: "app", target: endlessOnce, sound: endlessStream},
		{kind: standin.EndlessChunks, service: "app", target: endlessOnce, sound: endlessStream},
		{kind: standin.EndlessLength, service: "app", target: endlessOnce, sound: endlessStream},
		{kind: standin.EndlessSurplus, service: "app", target: endlessOnce, sound: endlessStream, answered: true},
		{kind: standin.EndlessEvent, service: "llm", target: endlessStream, sound: endlessOnce},
		{kind: standin.EndlessEvents, service: "llm", target: endlessStream, sound: endlessOnce},
		{kind: standin.EndlessLines, service: "llm", target: endlessStream, sound: endlessOnce},
	} {
		c.run(t)
	}
}

const (
	// longHeads is the number of callers that send a long head at once, and longHeadBytes its size, below
	// the usual bound of net/http.
	longHeads     = 768
	longHeadBytes = 900 << 10
)

// TestPlatformCallersHeadsEndFront guards against a front that keeps the heads of many callers' requests in
// memory until it is killed.
func TestPlatformCallersHeadsEndFront(t *testing.T) {
	is := is.New(t)
	p := newBarePlatformSite(t)
	p.extraSettings = fmt.Sprintf("memory_mb: %d\ncores: 1\n", endlessMemoryMB)
	p.putDocument()
	p.addServer("app-1")
	p.startFront("front-1")
	p.waitReady("front-1", 1)
	var sent, answered sync.WaitGroup
	sent.Add(longHeads)
	for range longHeads {
		answered.Go(func() {
			conn, err := net.Dial("tcp", p.fronts["front-1"].address("callers"))
			if err != nil {
				sent.Done()
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			head := "GET /safe/1 HTTP/1.1\r\nHost: yard.example\r\nConnection: close\r\n" + strings.Repeat("A: "+strings.Repeat("0", 1000)+"\r\n", longHeadBytes/1000)
			_, _ = io.WriteString(conn, head) // it fails if the head is refused
			sent.Done()
			sent.Wait()
			_, _ = io.WriteString(conn, "\r\n")
			_, _ = io.Copy(io.Discard, conn)
		})
	}
	answered.Wait()
	peak := peakMemoryMB(t, p.fronts["front-1"].cmd.Process.Pid)
	t.Logf("peak of %d MB", peak)
	is.True(peak < endlessMemoryMB)
}
