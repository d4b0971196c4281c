package tests

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// foreignTokens is the most tokens of an event of the first server, and foreignWeights the number of tokens after which the
	// weights change.
	foreignTokens  = 3
	foreignWeights = 17
	// foreignCutStep is how many bytes further each stream is cut than the last one.
	foreignCutStep = 11
	// foreignShortEvents is the number of events of short streams, foreignShortGap the time between two of them.
	foreignShortEvents = 10
	foreignShortGap    = 40 * time.Millisecond
	// foreignIdle is how long servers keep unused connections open: less than the time between two requests on one.
	foreignIdle = 60 * time.Millisecond
)

// orderWeights is the kind of an event whose weights were not named.
const orderWeights orderKind = "weights not named"

// gap returns the time between two streams.
func (f *foreignForm) gap() time.Duration {
	if f.short {
		return foreignShortGap
	}
	return foreignGap
}

// pieces returns the number of pieces of a stream: its events, or the tokens in them.
func (f *foreignForm) pieces() int {
	events := foreignEvents
	if f.short {
		events = foreignShortEvents
	}
	if f.events != nil {
		return events * foreignTokens / 2 // an event has half as many in the mean
	}
	return events
}

// The framings of responses.
const (
	inChunks  = ", chunks"
	unframed  = ", HTTP/1.0"
	byDefault = ", HTTP/1.0, default settings"
	inBoth    = ", mixed"
)

// framings returns a form with responses in chunks, in HTTP/1.0 by each setting, and with some of both. CI plays the one with the
// framing inCI; empty for none.
func framings(form foreignForm, inCI string) []foreignForm {
	var out []foreignForm
	for _, framing := range []string{inChunks, unframed, byDefault, inBoth} {
		one := form
		one.name, one.ci = form.name+framing, framing == inCI
		one.http10, one.completeAtClose, one.mixed = framing == unframed || framing == byDefault, framing == unframed, framing == inBoth
		out = append(out, one)
	}
	return out
}

// foreignEventForms returns the forms whose events have several tokens, and of which resumable streams are cut inside an event.
func foreignEventForms() []foreignForm {
	var out []foreignForm
	for _, one := range []struct {
		name   string
		events standin.RoutedEvents
		// inCI is the framing that CI plays, with cuts at last bytes.
		inCI string
	}{
		{"several tokens", standin.RoutedEvents{}, ""},
		{"one or several tokens", standin.RoutedEvents{Tokens: 1}, ""},
		{"rests cut, too", standin.RoutedEvents{CutsRests: true}, ""},
		{"weights", standin.RoutedEvents{Weights: foreignWeights}, inChunks},
		{"CR LF", standin.RoutedEvents{Weights: foreignWeights, LineEnd: "\r\n"}, unframed},
		{"IDs behind the data", standin.RoutedEvents{IDLast: true}, ""},
		{"IDs with zeros", standin.RoutedEvents{IDFormat: "%06d"}, ""},
		{"IDs with spaces", standin.RoutedEvents{IDFormat: " %d "}, ""},
		{"comments", standin.RoutedEvents{Comments: 2, Weights: foreignWeights}, ""},
		{"events without ID", standin.RoutedEvents{Pings: 4}, ""},
	} {
		events := one.events
		events.Tokens = cmp.Or(events.Tokens, foreignTokens)
		add := func(name, inCI string, event func(*foreignSite), events standin.RoutedEvents) {
			form := foreignForm{name: "tokens, " + one.name + ", " + name, cuts: true, event: event, events: &events}
			out = append(out, framings(form, inCI)...)
		}
		add("a server is killed", "", (*foreignSite).killServer, events)
		events.CutPath = "/chat/long/"
		events.CutFrom = -1
		add("cut before last bytes", one.inCI, func(*foreignSite) {}, events)
		events.CutStep = foreignCutStep
		for _, from := range []int{0, 4, 8} {
			events.CutFrom = from
			add(fmt.Sprint("cut from byte ", from), "", func(*foreignSite) {}, events)
		}
	}
	return out
}

// foreignConnForms returns the forms whose connections are odd, with short streams that use kept ones.
func foreignConnForms() []foreignForm {
	var out []foreignForm
	add := func(name, inCI string, form foreignForm) {
		events := standin.RoutedEvents{Tokens: foreignTokens, CutPath: "/chat/long/", CutStep: foreignCutStep}
		form.name, form.events, form.short, form.cuts = "connections, "+name, &events, true, true
		form.event = func(*foreignSite) {}
		out = append(out, framings(form, inCI)...)
		form.name, form.events = form.name+", a server is killed", &standin.RoutedEvents{Tokens: foreignTokens}
		form.event = (*foreignSite).killServer
		out = append(out, framings(form, "")...)
	}
	add("late surplus responses", inChunks, foreignForm{conns: standin.OddLate})
	add("responses behind their ends", unframed, foreignForm{conns: standin.OddBehind})
	add("hints", "", foreignForm{conns: standin.OddHints})
	add("many hints", inChunks, foreignForm{conns: standin.OddManyHints})
	add("heads twice", inBoth, foreignForm{conns: standin.OddTwice})
	add("cut heads", "", foreignForm{conns: standin.OddCut})
	add("some close", "", foreignForm{closeEach: 3})
	add("short time-outs", "", foreignForm{idleTimeout: foreignIdle})
	add("short time-outs, late surplus responses", "", foreignForm{idleTimeout: foreignIdle, conns: standin.OddLate, closeEach: 4})
	return out
}

// lineEnd returns the end of a line of a stream.
func (o *orderStream) lineEnd() string {
	if o.form != nil && o.form.LineEnd != "" {
		return o.form.LineEnd
	}
	return "\n"
}

// blank returns what ends an event: the end of its last line, and an empty line.
func (o *orderStream) blank() []byte { return []byte(o.lineEnd() + o.lineEnd()) }

// tokenEvent is an event that has several tokens.
type tokenEvent struct {
	id, first, last      int
	target, version, run string
	// weights is the version of the weights that it names; 0 if it names none.
	weights int
}

// parseTokens returns an event, whose ID is 0 if it has not the form of the stream's events.
func (o *orderStream) parseTokens(event string) (e tokenEvent) {
	lines := strings.Split(event, o.lineEnd())
	if _, err := fmt.Sscanf(lines[0], strings.ToLower(standin.HeaderWeights)+": %d", &e.weights); err == nil {
		lines = lines[1:]
	}
	if len(lines) != 3 {
		return tokenEvent{}
	}
	id, data := lines[0], strings.Join(lines[1:], "\n")
	if o.form.IDLast {
		id, data = lines[2], strings.Join(lines[:2], "\n")
	}
	const form = "data: %s %d %d\ndata: %s %s"
	_, idErr := fmt.Sscanf(id, "id: %d", &e.id)
	_, dataErr := fmt.Sscanf(data, form, &e.target, &e.first, &e.last, &e.version, &e.run)
	whole := fmt.Sprintf(form, e.target, e.first, e.last, e.version, e.run)
	if idErr != nil || dataErr != nil || data != whole || id != "id: "+o.form.ID(e.id) || e.id != e.last || e.first > e.last {
		return tokenEvent{}
	}
	return e
}

// isAside reports whether an event is a comment or has no ID, as the form has them.
func (o *orderStream) isAside(event string) bool {
	lines := strings.Split(event, o.lineEnd())
	return o.form.Comments > 0 && len(lines) == 1 && strings.HasPrefix(event, ": ") ||
		o.form.Pings > 0 && slices.Equal(lines, []string{"event: " + standin.RoutedPing, "data: " + standin.RoutedPing})
}

// addTokens adds an event that has several tokens.
func (o *orderStream) addTokens(c *soakCall, event string) *orderProblem {
	if o.isAside(event) {
		return nil
	}
	e := o.parseTokens(event)
	if e.id == 0 || e.target != c.target {
		return orderProblemf(orderForeign, "after event %d came %q, which is none of the stream", o.last, event)
	}
	if problem := o.addPieces(c, e.first, e.id, e.version, e.run); problem != nil {
		return problem
	}
	if e.weights > 0 {
		o.weights = e.weights
	}
	if o.form.Weights > 0 && o.weights != o.form.WeightsOf(e.id) {
		return orderProblemf(orderWeights, "event %d is of weights %d, and %d were named", e.id, o.form.WeightsOf(e.id), o.weights)
	}
	return nil
}

// TestForeignTokensAreChecked checks that the checks of streams with several tokens in an event report each kind of stream that
// does not go on where it broke, and nothing else.
func TestForeignTokensAreChecked(t *testing.T) {
	const target = "/chat/long/1?events=9&origin"
	cut := errors.New("cut")
	for _, form := range []standin.RoutedEvents{
		{}, {LineEnd: "\r\n"}, {IDLast: true}, {IDFormat: " %d "}, {IDFormat: "%04d"}, {Comments: 1, Pings: 1}, {Weights: 4}, {Weights: 4, LineEnd: "\r\n", IDLast: true},
	} {
		event := func(version, run string, first, last int) []byte {
			return standin.RoutedTokens(&form, target, version+" "+run, first, last)
		}
		attempt := func(err error, data ...[]byte) *soakCall {
			c := &soakCall{status: http.StatusOK, data: slices.Concat(data...), err: err, events: 9}
			c.id, c.target = fmt.Sprint("c", err), target
			return c
		}
		begun := slices.Concat(event("v1", "a", 1, 1), event("v1", "a", 2, 4))
		for _, one := range []struct {
			name     string
			attempts []*soakCall
			kind     orderKind
		}{
			{"whole", []*soakCall{attempt(nil, begun, event("v1", "a", 5, 9))}, ""},
			{"resumed", []*soakCall{attempt(cut, begun), attempt(nil, event("v1", "b", 5, 6), event("v1", "b", 7, 9))}, ""},
			{"cut inside an event", []*soakCall{attempt(cut, begun, event("v1", "a", 5, 9)[:9]), attempt(nil, event("v1", "b", 5, 9))}, ""},
			{"begins again", []*soakCall{attempt(cut, begun), attempt(cut, event("v1", "b", 1, 1))}, orderBack},
			{"repeats an event", []*soakCall{attempt(cut, begun), attempt(cut, event("v1", "b", 2, 4))}, orderTwice},
			{"repeats a token", []*soakCall{attempt(cut, begun), attempt(cut, event("v1", "b", 4, 6))}, orderTwice},
			{"leaves a token out", []*soakCall{attempt(cut, begun), attempt(cut, event("v1", "b", 6, 9))}, orderMissing},
			{"another version", []*soakCall{attempt(cut, begun, event("v2", "b", 5, 9))}, orderVersions},
			{"two runs in turn", []*soakCall{attempt(cut, begun, event("v1", "b", 5, 6), event("v1", "a", 7, 9))}, orderRuns},
			{"complete too early", []*soakCall{attempt(nil, begun, event("v1", "a", 5, 8))}, orderEarly},
			{"complete inside an event", []*soakCall{attempt(nil, begun, event("v1", "a", 5, 9), []byte("x"))}, orderEarly},
			{"another stream", []*soakCall{attempt(cut, begun, standin.RoutedTokens(&form, "/other", "v1 a", 5, 9))}, orderForeign},
			{"two events in one", []*soakCall{attempt(cut, bytes.TrimSuffix(begun, (&orderStream{form: &form}).blank()), event("v1", "a", 5, 9))}, orderForeign},
			{"no event", []*soakCall{attempt(cut, begun, []byte("HTTP/1.1 200 OK"), (&orderStream{form: &form}).blank())}, orderForeign},
		} {
			found := (&orderStream{form: &form}).addAll(one.attempts)
			if found.kind != one.kind {
				t.Errorf("%+v: %s: %+v", form, one.name, found)
			}
		}
	}
}

// TestForeignWeightsAreChecked checks that weights are reported that changed where no event names them.
func TestForeignWeightsAreChecked(t *testing.T) {
	const target = "/chat/long/1?events=6&origin"
	weights, silent := standin.RoutedEvents{Weights: 3}, standin.RoutedEvents{}
	named, plain := standin.RoutedTokens(&weights, target, "v1 a", 1, 3), standin.RoutedTokens(&silent, target, "v1 a", 1, 3)
	for _, one := range []struct {
		name string
		data []byte
		kind orderKind
	}{
		{"named", slices.Concat(named, standin.RoutedTokens(&weights, target, "v1 a", 4, 6)), ""},
		{"named once", slices.Concat(standin.RoutedTokens(&weights, target, "v1 a", 1, 2), standin.RoutedTokens(&silent, target, "v1 a", 3, 3), standin.RoutedTokens(&weights, target, "v1 a", 4, 6)), ""},
		{"never named", plain, orderWeights},
		{"not named where they change", slices.Concat(named, standin.RoutedTokens(&silent, target, "v1 a", 4, 6)), orderWeights},
		{"named as others", bytes.Replace(named, []byte(": 1"), []byte(": 2"), 1), orderWeights},
	} {
		c := &soakCall{status: http.StatusOK, data: one.data, err: errors.New("cut"), events: 6}
		c.id, c.target = "c", target
		var found orderProblem
		if problem := (&orderStream{form: &weights}).add(c); problem != nil {
			found = *problem
		}
		if found.kind != one.kind {
			t.Errorf("%s: %+v", one.name, found)
		}
	}
}
