package tests

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/runworks/runworks/standin"
)

// listVersion writes the record of a server with a software version.
func (p *platformSite) listVersion(server, version string) {
	p.t.Helper()
	record := bytes.Replace(p.record(server, "ready", 0), []byte(`"version": "v1"`), fmt.Appendf(nil, `"version": %q`, version), 1)
	p.put("keyed.servers", server, record)
}

// newMixedVersions starts a site where the llm service has three servers of each of two versions, and
// returns the version of each.
func newMixedVersions(t *testing.T, fronts ...string) (p *platformSite, versions map[string]string) {
	t.Helper()
	p, versions = newPlatformSite(t, fronts...), map[string]string{}
	for i := 1; i <= 6; i++ {
		name := fmt.Sprintf("llm-%d", i)
		versions[name] = fmt.Sprintf("v%d", 1+i%2)
		if p.backends[name] == nil {
			p.addServer(name)
		}
		p.listVersion(name, versions[name])
	}
	for _, front := range fronts {
		p.waitFor(front+" knows the versions", func() bool {
			var status frontVersions
			return getJSON("http://"+p.fronts[front].address("operators")+"/status", &status) && status.knows(versions)
		})
	}
	return p, versions
}

// frontVersions is the part of a front's status with the versions of servers.
type frontVersions struct {
	Servers []struct {
		ID      string `json:"id"`
		Version string `json:"version"`
	} `json:"servers"`
}

// knows reports whether the front knows all servers and their versions. Fronts of earlier landings name no versions.
func (s *frontVersions) knows(versions map[string]string) bool {
	found := 0
	for _, one := range s.Servers {
		if version, ok := versions[one.ID]; ok && (one.Version == version || one.Version == "" && *frontProgram != "") {
			found++
		}
	}
	return found == len(versions)
}

func (s *frontVersions) lists(server string) bool {
	for _, one := range s.Servers {
		if one.ID == server {
			return true
		}
	}
	return false
}

func (s *frontVersions) versionOf(server string) string {
	for _, one := range s.Servers {
		if one.ID == server {
			return one.Version
		}
	}
	return ""
}

// versionsOf returns the versions of the servers that ran calls whose ID has a prefix.
func (p *platformSite) versionsOf(versions map[string]string, prefix string) map[string]int {
	p.t.Helper()
	out := map[string]int{}
	for server, version := range versions {
		for _, one := range p.calls(server) {
			if strings.HasPrefix(one.ID, prefix) {
				out[version]++
			}
		}
	}
	return out
}

// TestPlatformStreamStaysAtItsVersion guards against a stream that is continued, by the front or by its
// caller at another front, at another software version than the one that began it.
func TestPlatformStreamStaysAtItsVersion(t *testing.T) {
	is := is.New(t)
	p, versions := newMixedVersions(t, "front-1", "front-2")
	for i := range 10 {
		for server := range versions {
			p.setFaults(p.backends[server], standin.RoutedFaults{BreakAt: 4, Breaks: 1})
		}
		// The first break is continued by the front, the second ends the attempt.
		target, prefix := fmt.Sprintf("/chat/long/%d?events=6", i), fmt.Sprintf("stream-%d-", i)
		c := platformCall{id: prefix + "1", method: http.MethodPost, target: target, key: "yard-key"}
		_, data, err := p.do("front-1", c)
		is.True(err != nil)
		is.Equal(string(data), string(platformEvents(target, 3)))
		c.id, c.header = prefix+"2", http.Header{"Last-Event-Id": {"3"}, "Resumes": {prefix + "1"}}
		for server := range versions {
			p.setFaults(p.backends[server], standin.RoutedFaults{})
		}
		res, rest, err := p.do("front-2", c)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.Equal(string(data)+string(rest), string(platformEvents(target, 6)))
		is.Equal(len(p.versionsOf(versions, prefix)), 1)
	}
}

// TestPlatformStreamResumedAtNewFront guards against streams that are refused or change their version
// because a front started after they began, also where the front that began them is gone.
func TestPlatformStreamResumedAtNewFront(t *testing.T) {
	is := is.New(t)
	p, versions := newMixedVersions(t, "front-1", "front-2")
	const streams = 6
	for i := range streams {
		for server := range versions {
			p.setFaults(p.backends[server], standin.RoutedFaults{BreakAt: 4, Breaks: 1})
		}
		_, _, err := p.do("front-1", platformCall{id: fmt.Sprintf("stream-%d-1", i), method: http.MethodPost, target: fmt.Sprintf("/chat/long/%d?events=6", i), key: "yard-key"})
		is.True(err != nil)
	}
	for server := range versions {
		p.setFaults(p.backends[server], standin.RoutedFaults{})
	}
	p.waitFor("front-2 knows the streams", func() bool {
		var status struct {
			Streams int `json:"stream_origins"`
		}
		return getJSON("http://"+p.fronts["front-2"].address("operators")+"/status", &status) && status.Streams == streams
	})
	p.fronts["front-1"].signal(syscall.SIGKILL)
	p.startFront("front-3")
	p.waitReady("front-3", 2)
	for i := range streams {
		prefix := fmt.Sprintf("stream-%d-", i)
		c := platformCall{id: prefix + "2", method: http.MethodPost, target: fmt.Sprintf("/chat/long/%d?events=6", i), key: "yard-key", header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {prefix + "1"}}}
		res, data, err := p.do("front-3", c)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.True(bytes.HasPrefix(data, standin.RoutedEvent(c.target, 4)))
		is.Equal(len(p.versionsOf(versions, prefix)), 1)
	}
}

// TestPlatformUnknownStreamIsRefused guards against a stream that is resumed at any version because its
// front does not know which one began it.
func TestPlatformUnknownStreamIsRefused(t *testing.T) {
	is := is.New(t)
	p, versions := newMixedVersions(t, "front-1")
	c := platformCall{id: "2", method: http.MethodPost, target: "/chat/long/1?events=6", key: "yard-key"}
	for _, resumes := range []string{"unknown", ""} {
		c.header = http.Header{"Last-Event-Id": {"3"}}
		if resumes != "" {
			c.header.Set("Resumes", resumes)
		}
		res, _, err := p.do("front-1", c)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		is.True(res.Header.Get("Retry-After") != "")
	}
	is.Equal(len(p.versionsOf(versions, "2")), 0)
	// The servers of a version that are gone may have begun it.
	for server, version := range versions {
		if version == "v2" {
			p.put("keyed.servers", server, nil)
		}
	}
	p.waitFor("the front knows one version", func() bool {
		var status frontVersions
		return getJSON("http://"+p.fronts["front-1"].address("operators")+"/status", &status) && status.versionOf("llm-1") == ""
	})
	res, _, err := p.do("front-1", c)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusServiceUnavailable)
}

// TestPlatformUnknownStreamOfOnlyVersion guards against a stream that is refused although only one version
// can have begun it.
func TestPlatformUnknownStreamOfOnlyVersion(t *testing.T) {
	is := is.New(t)
	p := newPlatformSite(t, "front-1")
	c := platformCall{id: "2", method: http.MethodPost, target: "/chat/long/1?events=6", key: "yard-key"}
	c.header = http.Header{"Last-Event-Id": {"3"}, "Resumes": {"1"}}
	res, data, err := p.do("front-1", c)
	is.NoErr(err)
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(bytes.HasPrefix(data, standin.RoutedEvent(c.target, 4)))
}

// beginStreams begins resumable streams at a front. Each breaks after three events.
func (p *platformSite) beginStreams(front string, streams int) {
	p.t.Helper()
	for i := range streams {
		for _, backend := range p.backends {
			p.setFaults(backend, standin.RoutedFaults{BreakAt: 4, Breaks: 1})
		}
		c := longStream(i, 1)
		if _, data, err := p.do(front, c); err == nil || string(data) != string(platformEvents(c.target, 3)) {
			p.t.Fatalf("stream %d did not break after its third event: %v, %q", i, err, data)
		}
	}
	for _, backend := range p.backends {
		p.setFaults(backend, standin.RoutedFaults{})
	}
}

// longStream returns an attempt at a resumable stream; those after the first resume it after three events.
func longStream(i, attempt int) platformCall {
	c := platformCall{id: fmt.Sprintf("stream-%d-%d", i, attempt), method: http.MethodPost, target: fmt.Sprintf("/chat/long/%d?events=6", i), key: "yard-key"}
	if attempt > 1 {
		c.header = http.Header{"Last-Event-Id": {"3"}, "Resumes": {fmt.Sprintf("stream-%d-1", i)}}
	}
	return c
}

// TestPlatformStreamChangesVersionAfterExitOfAllFronts guards against streams that are continued at another
// version than the one that began them, because all fronts were killed when the last server of their
// version had left the list, or while it did.
func TestPlatformStreamChangesVersionAfterExitOfAllFronts(t *testing.T) {
	fronts := []string{"front-1", "front-2"}
	restart := func(p *platformSite) {
		p.killFronts(fronts)
		p.startFronts(fronts)
	}
	remove := func(p *platformSite, versions map[string]string) {
		for server, version := range versions {
			if version == "v1" {
				p.put("keyed.servers", server, nil)
			}
		}
	}
	known := func(p *platformSite, servers int) {
		for _, front := range fronts {
			p.waitFor(front+" knows the servers", func() bool {
				var status frontVersions
				return getJSON("http://"+p.fronts[front].address("operators")+"/status", &status) && len(status.Servers) == servers
			})
		}
	}
	cases := map[string]func(p *platformSite, versions map[string]string){
		"killed once": func(p *platformSite, versions map[string]string) {
			remove(p, versions)
			known(p, len(versions)-3+2)
			restart(p)
		},
		"killed twice": func(p *platformSite, versions map[string]string) {
			remove(p, versions)
			known(p, len(versions)-3+2)
			restart(p)
			restart(p)
		},
		"removed while no front runs": func(p *platformSite, versions map[string]string) {
			p.killFronts(fronts)
			remove(p, versions)
			p.startFronts(fronts)
		},
		"one front back after the other": func(p *platformSite, versions map[string]string) {
			remove(p, versions)
			known(p, len(versions)-3+2)
			p.killFronts(fronts)
			p.startFronts(fronts[:1])
			p.startFronts(fronts[1:])
		},
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const streams = 6
			p, versions := newMixedVersions(t, fronts...)
			p.beginStreams("front-1", streams)
			trouble(p, versions)
			for i := range streams {
				prefix := fmt.Sprintf("stream-%d-", i)
				began := p.versionsOf(versions, prefix)
				res, _, err := p.do(fronts[i%2], longStream(i, 2))
				is.NoErr(err)
				is.Equal(len(p.versionsOf(versions, prefix)), 1)
				if began["v1"] > 0 {
					is.Equal(res.StatusCode, http.StatusServiceUnavailable)
					is.True(res.Header.Get("Retry-After") != "")
				}
			}
		})
	}
}

// TestPlatformStreamOfOnlyVersionIsRefusedAfterExitOfAllFronts guards against streams that are refused
// after all fronts were killed, although one version has served all along.
func TestPlatformStreamOfOnlyVersionIsRefusedAfterExitOfAllFronts(t *testing.T) {
	is := is.New(t)
	fronts := []string{"front-1", "front-2"}
	const streams = 6
	p := newPlatformSite(t, fronts...)
	p.beginStreams("front-1", streams)
	p.killFronts(fronts)
	p.startFronts(fronts)
	for i := range streams {
		c := longStream(i, 2)
		res, data, err := p.do(fronts[i%2], c)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusOK)
		is.True(bytes.HasPrefix(data, standin.RoutedEvent(c.target, 4)))
	}
}

// TestPlatformIsolatedFrontRefusesUnknownStream guards against a front that can reach neither the store nor
// another front, and continues a stream of a version that it can't know at the one that it knows.
func TestPlatformIsolatedFrontRefusesUnknownStream(t *testing.T) {
	p := newBarePlatformSite(t)
	p.putDocument()
	p.addServer("llm-1")
	store := newProxy(t, p.store.address("standin"))
	p.fronts["front-1"] = startProcess(t, "front-1", "runworks", "front", "--settings", p.settingsFile("front-1", p.proxiedSettings("front-1", store, nil)))
	p.waitReady("front-1", 1)
	attempts := 0
	continues := func() bool {
		attempts++
		c := longStream(attempts, 2)
		res, _, err := p.do("front-1", c)
		if err != nil {
			t.Fatal(err)
		}
		return res.StatusCode == http.StatusOK
	}
	p.waitFor("the stream continues", continues)
	store.set(proxyBlocksBoth)
	p.waitFor("the isolated front refuses the stream", func() bool { return !continues() })
	store.set(proxyForwards)
	p.waitFor("the stream continues again", continues)
}
