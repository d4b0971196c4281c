package tests

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/runworks/runworks/standin"
)

// momentRule is a rule that callers and servers rely on.
type momentRule string

const (
	// ruleOrder is that streams go on where they broke, at one version, and end after their last event; ruleMixed that a
	// response is that of one server to this call; and ruleTwice that a call runs once, or not at all if it was refused.
	ruleOrder momentRule = "order"
	ruleMixed momentRule = "mixed response"
	ruleTwice momentRule = "run twice"
)

// momentFault is a way in which what callers got or servers ran breaks a rule.
type momentFault struct {
	rule       momentRule
	kind, text string
}

// checkMoment checks what callers got over all attempts of their streams, and what servers ran: the names of the servers by the
// ID of the call.
func checkMoment(streams []*momentStream, ran map[string][]string) []momentFault {
	var out []momentFault
	sent := map[string]bool{}
	for _, s := range streams {
		for _, chain := range s.chains {
			if problem := chain.problem; problem != nil {
				rule := ruleOrder
				if problem.kind == orderForeign {
					rule = ruleMixed
				}
				out = append(out, momentFault{rule, string(problem.kind), fmt.Sprintf("%s: %s", chain.ids(), problem.text)})
			}
		}
		for _, c := range s.calls {
			sent[c.id] = true
			out = append(out, c.checkMixed(ran[c.id])...)
			out = append(out, c.checkTwice(ran[c.id])...)
		}
	}
	for id, servers := range ran {
		if !sent[id] {
			out = append(out, momentFault{ruleTwice, "nobody sent it", fmt.Sprintf("%s ran at %q", id, servers)})
		}
	}
	return out
}

var momentOrigin = regexp.MustCompile(`(?m)^data: v[0-9]+ (\S+)/(\S+)$`)

// checkMixed checks that a response is that of a server that ran the call.
func (c *momentCall) checkMixed(ran []string) []momentFault {
	var out []momentFault
	fault := func(kind, format string, args ...any) {
		out = append(out, momentFault{ruleMixed, kind, c.id + ": " + fmt.Sprintf(format, args...)})
	}
	if c.responseID != "" && c.responseID != c.id {
		fault("another call's response", "the response is that to %q", c.responseID)
	}
	switch {
	case c.status/100 == 2 && c.signature == "":
		fault("no signature", "status %d without a signature", c.status)
	case c.signature != "" && !slices.Contains(ran, c.signature):
		fault("another signature", "signed by %q, and ran at %q", c.signature, ran)
	case c.signature != "" && c.status != http.StatusOK:
		fault("another status", "status %d under the signature of %q, which sent %d", c.status, c.signature, http.StatusOK)
	}
	if text := c.foreignBytes(ran); c.events > 0 && text != "" {
		fault("another call's event", "%s", text)
	} else if text != "" {
		fault("another body", "%s", text)
	}
	return out
}

// foreignBytes returns what a successful response has that none of the servers that ran the call sent; empty if there is
// nothing.
func (c *momentCall) foreignBytes(ran []string) string {
	if c.status/100 != 2 {
		return ""
	}
	if c.events == 0 && c.signature != "" && !c.isBody() {
		return fmt.Sprintf("%q, and it ran at %q", c.data, ran)
	}
	for _, origin := range momentOrigin.FindAllStringSubmatch(string(c.data), -1) {
		if origin[2] != c.id || !slices.Contains(ran, origin[1]) {
			return fmt.Sprintf("an event of %s by %s, and it ran at %q", origin[2], origin[1], ran)
		}
	}
	return ""
}

// isBody reports whether the call without events got the body of the server that signed it, or its beginning if it was cut.
func (c *momentCall) isBody() bool {
	return slices.ContainsFunc([]string{"v1", "v2"}, func(version string) bool {
		want := standin.RoutedJSON(version, c.signature, c.id, c.method, c.target, c.body)
		return bytes.HasPrefix(want, c.data) && (c.err != nil || len(c.data) == len(want))
	})
}

// checkTwice checks how often a call ran.
func (c *momentCall) checkTwice(ran []string) []momentFault {
	var out []momentFault
	if !c.repeatable && len(ran) > 1 {
		out = append(out, momentFault{ruleTwice, "ran twice", fmt.Sprintf("%s can't be repeated, and ran at %q", c.id, ran)})
	}
	switch c.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(ran) > 0 {
			out = append(out, momentFault{ruleTwice, "refused and ran", fmt.Sprintf("%s got %d, and ran at %q", c.id, c.status, ran)})
		}
	}
	return out
}

// momentRan returns the servers that ran calls, by the ID of the call, from the output of a server.
func momentRan(ran map[string][]string, server, output string) {
	for _, line := range ranLines(output) {
		id := runID(line)
		ran[id] = append(ran[id], server)
	}
}

// TestMomentCheckFindsFaults guards against a check that misses a kind of wrong result, or finds fault with a right one.
func TestMomentCheckFindsFaults(t *testing.T) {
	const target, events = "/chat/long/1?events=6&origin", 6
	from := func(version, server, id string, first, last int) []byte {
		var out []byte
		for n := first; n <= last; n++ {
			event := standin.RoutedEvent(target, n)
			out = fmt.Appendf(append(out, event[:len(event)-1]...), "data: %s %s/%s\n\n", version, server, id)
		}
		return out
	}
	cut := errors.New("cut")
	call := func(id string, status int, signature string, err error, data ...[]byte) *momentCall {
		c := &momentCall{signature: signature, responseID: id}
		c.id, c.target, c.events, c.repeatable = id, target, events, true
		c.status, c.err, c.data = status, err, slices.Concat(data...)
		return c
	}
	once := func(c *momentCall) *momentCall {
		c.repeatable = false
		return c
	}
	body := func(id, server string) []byte {
		return standin.RoutedJSON("v1", server, id, http.MethodPost, target, nil)
	}
	plain := func(id string, err error, data ...[]byte) *momentCall {
		c := once(call(id, 200, "x", err, data...))
		c.method, c.events = http.MethodPost, 0
		return c
	}
	whole, part := call("a", 200, "x", nil, from("v1", "x", "a", 1, 6)), call("a", 200, "x", cut, from("v1", "x", "a", 1, 3))
	foreign := call("a", 200, "x", nil, from("v1", "x", "a", 1, 6))
	foreign.responseID = "b"
	atX := map[string][]string{"a": {"x"}}
	atBoth := map[string][]string{"a": {"x"}, "b": {"y"}}
	rest := func(version string, first, last int) *momentCall {
		return call("b", 200, "y", nil, from(version, "y", "b", first, last))
	}
	for _, one := range []struct {
		name  string
		calls []*momentCall
		ran   map[string][]string
		rule  momentRule
		kind  string
	}{
		{"whole", []*momentCall{whole}, atX, "", ""},
		{"goes on inside a response", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 3), from("v1", "y", "a", 4, 6))}, map[string][]string{"a": {"x", "y"}}, "", ""},
		{"taken up", []*momentCall{part, rest("v1", 4, 6)}, atBoth, "", ""},
		{"refused", []*momentCall{once(call("a", 503, "", nil))}, nil, "", ""},
		{"failed", []*momentCall{once(call("a", 502, "", nil))}, atX, "", ""},
		{"no response", []*momentCall{once(call("a", 0, "", cut))}, atX, "", ""},
		{"event missing", []*momentCall{part, rest("v1", 5, 6)}, atBoth, ruleOrder, string(orderMissing)},
		{"event twice", []*momentCall{part, rest("v1", 3, 6)}, atBoth, ruleOrder, string(orderTwice)},
		{"number back", []*momentCall{part, rest("v1", 1, 6)}, atBoth, ruleOrder, string(orderBack)},
		{"two versions", []*momentCall{part, rest("v2", 4, 6)}, atBoth, ruleOrder, string(orderVersions)},
		{"runs joined", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 2), from("v1", "y", "a", 3, 4), from("v1", "x", "a", 5, 6))}, map[string][]string{"a": {"x", "y"}}, ruleOrder, string(orderRuns)},
		{"complete too early", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 5))}, atX, ruleOrder, string(orderEarly)},
		{"no signature", []*momentCall{call("a", 200, "", nil, whole.data)}, atX, ruleMixed, "no signature"},
		{"another signature", []*momentCall{call("a", 200, "z", nil, whole.data)}, atX, ruleMixed, "another signature"},
		{"another status of success", []*momentCall{call("a", 206, "x", nil, whole.data)}, atX, ruleMixed, "another status"},
		{"a failure under a signature", []*momentCall{call("a", 502, "x", nil)}, atX, ruleMixed, "another status"},
		{"another call's response", []*momentCall{foreign}, atX, ruleMixed, "another call's response"},
		{"another call's event", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 5), from("v1", "x", "c", 6, 6))}, atX, ruleMixed, "another call's event"},
		{"an event of a server that did not run it", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 5), from("v1", "y", "a", 6, 6))}, atX, ruleMixed, "another call's event"},
		{"another body", []*momentCall{call("a", 200, "x", nil, []byte("id: 1\ndata: /other 1\ndata: v1 x/a\n\n"))}, atX, ruleMixed, string(orderForeign)},
		{"taken up behind a part of an event", []*momentCall{call("a", 200, "x", cut, from("v1", "x", "a", 1, 3), []byte("id: 4\nda")), rest("v1", 4, 6)}, atBoth, "", ""},
		{"complete inside an event", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 5), []byte("id: 6\nda"))}, atX, ruleOrder, string(orderEarly)},
		{"bytes that form no response", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 3), []byte("\x00\x01\xff no response"), from("v1", "x", "a", 4, 6))}, atX, ruleMixed, string(orderForeign)},
		{"a surplus response", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 5), from("v1", "x", "nobody", 6, 6))}, atX, ruleMixed, "another call's event"},
		{"the head of a surplus response", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 3), []byte("HTTP/1.1 200 OK\r\n\r\n"), from("v1", "x", "a", 4, 6))}, atX, ruleMixed, string(orderForeign)},
		{"a call once", []*momentCall{plain("a", nil, body("a", "x"))}, atX, "", ""},
		{"a call that was cut", []*momentCall{plain("a", cut, body("a", "x")[:40])}, atX, "", ""},
		{"half a body", []*momentCall{plain("a", nil, body("a", "x")[:40])}, atX, ruleMixed, "another body"},
		{"a body and more", []*momentCall{plain("a", nil, body("a", "x"), []byte("HTTP/1.1 200 OK"))}, atX, ruleMixed, "another body"},
		{"a cut body and more", []*momentCall{plain("a", cut, body("a", "x")[:40], []byte("HTTP/1.1 200 OK"))}, atX, ruleMixed, "another body"},
		{"two halves", []*momentCall{plain("a", nil, body("a", "x")[:40], body("a", "y")[40:])}, map[string][]string{"a": {"x", "y"}}, ruleMixed, "another body"},
		{"the body of a server that did not run it", []*momentCall{plain("a", nil, body("a", "y"))}, atX, ruleMixed, "another body"},
		{"the body of another call", []*momentCall{plain("a", nil, body("b", "x"))}, atX, ruleMixed, "another body"},
		{"a call once ran twice", []*momentCall{plain("a", nil, body("a", "x"))}, map[string][]string{"a": {"x", "x"}}, ruleTwice, "ran twice"},
		{"events of a surplus response", []*momentCall{call("a", 200, "x", nil, from("v1", "x", "a", 1, 5), standin.RoutedEvent(target, 6))}, atX, ruleMixed, string(orderForeign)},
		{"the body of a surplus response", []*momentCall{plain("a", nil, []byte("wrong"))}, atX, ruleMixed, "another body"},
		{"ran twice", []*momentCall{once(call("a", 502, "", nil))}, map[string][]string{"a": {"x", "x"}}, ruleTwice, "ran twice"},
		{"refused and ran", []*momentCall{call("a", 503, "", nil)}, atX, ruleTwice, "refused and ran"},
		{"limited and ran", []*momentCall{call("a", 429, "", nil)}, atX, ruleTwice, "refused and ran"},
		{"nobody sent it", []*momentCall{whole}, atBoth, ruleTwice, "nobody sent it"},
	} {
		stream := &momentStream{calls: one.calls, chains: []*momentChain{{}}}
		chain := stream.chains[0]
		for _, c := range one.calls {
			if chain.problem = chain.addAttempt(c); chain.problem != nil {
				break
			}
		}
		found := checkMoment([]*momentStream{stream}, one.ran)
		switch {
		case one.rule == "" && len(found) > 0:
			t.Errorf("%s: %+v", one.name, found)
		case one.rule != "" && !slices.ContainsFunc(found, func(f momentFault) bool { return f.rule == one.rule && f.kind == one.kind }):
			t.Errorf("%s: not found: %+v", one.name, found)
		}
	}
}

// ids returns the IDs of the attempts of a chain.
func (c *momentChain) ids() string {
	var out []string
	for _, attempt := range c.attempts {
		out = append(out, attempt.id)
	}
	return strings.Join(out, ", ")
}
