package tests

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
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
			if !getJSON("http://"+p.fronts[front].address("operators")+"/status", &status) {
				return false
			}
			for name, version := range versions {
				if status.versionOf(name) != version {
					return false
				}
			}
			return true
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

// TestPlatformUnknownStreamIsRefused guards against a stream that is taken up at any version because its
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
	// With one version left, it is the one that began the stream.
	for server, version := range versions {
		if version == "v2" {
			p.put("keyed.servers", server, nil)
		}
	}
	p.waitFor("the front knows one version", func() bool {
		res, data, err := p.do("front-1", c)
		return err == nil && res.StatusCode == http.StatusOK && bytes.HasPrefix(data, standin.RoutedEvent(c.target, 4))
	})
}
