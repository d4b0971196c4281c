package tests

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// drawnPlatformSteps returns the names of the steps of many seeds, by whether servers that crash may close connections.
func drawnPlatformSteps(t *testing.T) map[bool]string {
	names := map[bool]string{}
	for seed := range int64(200) {
		s := &soak{soakSeed: soakSeed{seed: soakPlatformSeeds + seed, faultTime: 10 * time.Second}, rand: rand.New(rand.NewPCG(uint64(seed), 0))}
		for i := range s.delays() {
			s.servers = append(s.servers, &soakServer{service: []string{"llm", "app"}[min(1, s.appServers()/(i+1))]})
		}
		for i := range s.frontCount() {
			s.fronts = append(s.fronts, &soakFront{name: fmt.Sprint("front-", i)})
		}
		for _, one := range s.schedule() {
			names[s.closesAtCrash()] += one.name + "\n"
		}
		if s.hasOldServers() || s.hasOldCallers() || s.closesPaths() || s.reportsGeneration() || !s.joinsStreams() || s.longCallers() == 0 {
			t.Errorf("seed %d plays other servers or callers", s.seed)
		}
	}
	return names
}

// TestSoakPlaysPlatformOnly guards against seeds of faults of the platform that play others, or leave some of them out.
func TestSoakPlaysPlatformOnly(t *testing.T) {
	if (&soak{soakSeed: soakSeed{seed: soakPlatformSeeds - 1}}).platformOnly() {
		t.Error("an earlier seed plays them")
	}
	never := []string{`Rejoin:[a-z]`, `Rejoins:[1-9]`, `CloseDelimited:true`, "under its id", "the way to .* closes", "another writer"}
	always := []string{
		"crashes and resets", "crashes and loses power", "its record goes", "a new one starts", `is replaced, record "draining"`, `is replaced, record ""`, "it ends",
		"Reject:[1-9]", "UnsolicitedStreams:[1-9]", "Reset:[1-9]", "Unframed:[1-9]", "Fail:[1-9]", "BreakAt:[1-9]", "CloseDelimitedEach:1", "CloseDelimitedEach:2",
		"planned stop", "reload", "new document", "drains", "kill of front", "kill of all fronts", "kill of all fronts beside it", "pause of front", "is cut off",
		"pause of a server", "pause of the store", "the store: ", "the way to a server of llm is (reset|cut|silent|delayed)", "the way to the store .* is (reset|cut|silent|delayed)",
	}
	closing := []string{"crashes and " + string(crashCloses), "crashes behind a cut"}
	for closes, played := range drawnPlatformSteps(t) {
		check := func(parts []string, want bool) {
			for _, part := range parts {
				if found := regexp.MustCompile(part).FindString(played); (found != "") != want {
					t.Errorf("closes at crashes %t: %q is played: %t", closes, part, !want)
				}
			}
		}
		check(never, false)
		check(always, true)
		check(closing, closes)
	}
}

// TestSoakProxyRefuses guards against a proxy that accepts connections for a server that ended, or takes another address then.
func TestSoakProxyRefuses(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	p := newProxy(t, target.Addr().String())
	for _, accepts := range []bool{true, false, true} {
		if p.refuse(); accepts {
			p.accept()
		}
		conn, err := net.Dial("tcp", p.address())
		if accepts != (err == nil) || !accepts && !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("accepts %t: %v", accepts, err)
		}
		if err == nil {
			_ = conn.Close()
		}
	}
}

// TestPlatformUnsolicitedStreamIsDropped guards against events of another stream that comes in the place of the one that is due.
func TestPlatformUnsolicitedStreamIsDropped(t *testing.T) {
	is := is.New(t)
	p := newPlatformSite(t, "front-1")
	for _, name := range []string{"llm-1", "llm-2"} {
		p.setFaults(p.backends[name], standin.RoutedFaults{UnsolicitedStreams: 3})
	}
	c := platformCall{id: "straight", method: http.MethodPost, target: "/chat/1?events=3", key: "yard-key"}
	req, err := c.request(t.Context(), p.backends["llm-1"].address("standin"), time.Second)
	is.NoErr(err)
	res, err := (&foreignCaller{}).RoundTrip(req)
	is.NoErr(err)
	is.Equal(res.Header.Get(standin.HeaderRoutedID), "nobody") // the server sends it first
	is.NoErr(res.Body.Close())
	for i, path := range []string{"/chat/", "/chat/long/", "/chat/", "/chat/long/"} {
		c.id, c.target = fmt.Sprint("c", i), fmt.Sprintf("%s%d?events=3", path, i)
		res, data, err := p.do("front-1", c)
		is.True(err != nil || res.StatusCode != http.StatusOK || string(data) == string(platformEvents(c.target, 3)))
		if res != nil && res.StatusCode == http.StatusOK {
			is.True(bytes.HasPrefix(platformEvents(c.target, 3), data))
		}
	}
}

// TestSoakClearsForms guards against servers whose whole responses are lost once all faults are over, as neither a length nor chunks show
// their ends: those that run on, and those that start as the faults end.
func TestSoakClearsForms(t *testing.T) {
	const all = soakPlatformSeeds + 2 // the first server sends all responses so, the second one each other one
	for _, one := range []struct {
		name    string
		prepare func(*soakServer)
	}{
		{"runs on", func(*soakServer) {}},
		{"is paused", func(server *soakServer) { server.current().signalIfAlive(syscall.SIGSTOP) }},
		{"drains", func(server *soakServer) { server.current().drainingSince = time.Now() }},
		{"ended", func(server *soakServer) { server.end(crashResets) }},
	} {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			s := &soak{platformSite: newBarePlatformSite(t), soakSeed: soakSeed{seed: all}, written: map[storeKey][]byte{}}
			for range 2 {
				server := &soakServer{service: "app", proxy: newProxy(t, "")}
				s.servers = append(s.servers, server)
				s.startServer(server)
			}
			is.Equal(s.formsSent(t), []int{2, 1})
			for _, server := range s.servers {
				one.prepare(server)
			}
			s.clearFaults()
			is.Equal(s.formsSent(t), []int{0, 0})
		})
	}
}

// formsSent returns how many of two responses each server sends with neither a length nor chunks.
func (s *soak) formsSent(t *testing.T) []int {
	var out []int
	transport := newSoakTransport()
	defer transport.CloseIdleConnections()
	for _, server := range s.servers {
		n := 0
		for i := range 2 {
			c := platformCall{id: fmt.Sprint("c", i), method: http.MethodGet, target: "/safe/1", key: "yard-key"}
			req, err := c.request(t.Context(), server.proxy.address(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			res, err := transport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
				n++
			}
			_ = res.Body.Close()
		}
		out = append(out, n)
	}
	return out
}
