package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// start is when each script begins.
var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts plays what entries see and tell each other: a line for each step, with the time
// since the start, the entry, what it does and with which request. Each entry keeps what it
// tells; tell hands it on, in its order or the other way round.
func TestScripts(t *testing.T) {
	var entries map[string]*scripted
	datadriven.RunTest(t, "testdata/script", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "fresh" {
			entries = map[string]*scripted{}
			for _, name := range []string{"a", "b", "c", "d"} {
				entries[name] = newScripted()
			}
			return ""
		}
		var out strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			f := strings.Fields(line)
			at, err := time.ParseDuration(f[0])
			if err != nil {
				t.Fatal(err)
			}
			for _, one := range entries {
				one.out = &out
			}
			entries[f[1]].step(t, start.Add(at), entries, f[2:])
		}
		return out.String()
	})
}

// scripted is an entry of a script.
type scripted struct {
	*Quarantine
	news []runworks.Suspect
	out  *strings.Builder
}

func newScripted() *scripted {
	s := &scripted{}
	s.Quarantine = &Quarantine{
		ExitThreshold: 3, Duration: time.Hour,
		OnUpdate: func(n runworks.Suspect, record bool) {
			s.news = append(s.news, n)
			if record {
				fmt.Fprintf(s.out, "%s recorded\n", n.Fingerprint)
			}
		},
		OnQuarantine: func(h runworks.Suspect, wait time.Duration) {
			fmt.Fprintf(s.out, "%s held for %s\n", h.Fingerprint, wait)
		},
		OnRelease: func(f runworks.Fingerprint) { fmt.Fprintf(s.out, "%s lifted\n", f) },
	}
	return s
}

func (s *scripted) step(t *testing.T, now time.Time, entries map[string]*scripted, words []string) {
	t.Helper()
	verb, what := words[0], runworks.Fingerprint(words[1])
	switch verb {
	case "blame":
		s.AttributeExit(now, what, words[2])
	case "broken":
		s.RecordDisconnect(now, what, words[2])
	case "gone":
		fmt.Fprintf(s.out, "gone %v\n", s.ServerRemoved(now, words[1]))
	case "answered":
		s.RecordAnswer(now, what)
	case "lift":
		fmt.Fprintf(s.out, "known %t\n", s.Release(now, what))
	case "ask":
		fmt.Fprintf(s.out, "%s wait %s\n", what, s.HeldFor(now, what))
	case "tell":
		entries[words[1]].Apply(now, s.news)
	case "tell-backwards":
		for i := range s.news {
			entries[words[1]].Apply(now, s.news[len(s.news)-1-i:][:1])
		}
	case "greet":
		entries[words[1]].Apply(now, s.List(now))
	default:
		t.Fatalf("no verb %s", verb)
	}
}

// TestBounds keeps as many suspects and ends as its bounds allow: those that are held stay,
// and of the others the newest.
func TestBounds(t *testing.T) {
	is := is.New(t)
	q := &Quarantine{ExitThreshold: 3, Duration: time.Hour}
	for i := range 3 {
		q.AttributeExit(start, "held", fmt.Sprint("s", i))
	}
	for i := range 2 * maxSuspects {
		q.AttributeExit(start.Add(time.Duration(i)*time.Millisecond), runworks.Fingerprint(fmt.Sprint(i)), "s")
	}
	now := start.Add(time.Minute)
	list := q.List(now)
	is.Equal(len(list), maxSuspects)
	is.True(q.HeldFor(now, "held") > 0)
	is.Equal(len(q.Get("0").Exits), 0)
	is.Equal(len(q.Get(runworks.Fingerprint(fmt.Sprint(2*maxSuspects-1))).Exits), 1)
	for i := range 2 * maxEnds {
		q.AttributeExit(start.Add(time.Duration(i)*time.Second), "held", fmt.Sprint("t", i))
	}
	ends := q.Get("held").Exits
	is.Equal(len(ends), maxEnds)
	is.Equal(ends[maxEnds-1].Server, fmt.Sprint("t", 2*maxEnds-1))
	is.Equal(len(q.List(start.Add(3*time.Hour))), 0)
	is.True(q.Empty())
}

// TestAnswersAreBounded remembers the last answers alone.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	var a answers
	for i := range 2 * maxAnswered {
		a.add(start, runworks.Fingerprint(fmt.Sprint(i)))
	}
	is.Equal(len(a.at), maxAnswered)
	is.True(!a.has(start, "0"))
	is.True(a.has(start, runworks.Fingerprint(fmt.Sprint(2*maxAnswered-1))))
}

// TestZeroHoldsNothing lets all requests go where no bound is set.
func TestZeroHoldsNothing(t *testing.T) {
	is := is.New(t)
	var q Quarantine
	for i := range 10 {
		q.AttributeExit(start, "f", fmt.Sprint(i))
	}
	is.Equal(q.HeldFor(start, "f"), time.Duration(0))
}

// TestBreaksAreBounded remembers the last breaks alone.
func TestBreaksAreBounded(t *testing.T) {
	is := is.New(t)
	var b breaks
	for i := range 2 * maxBreaks {
		b.add(start, runworks.Fingerprint(fmt.Sprint(i)), fmt.Sprint("s", i))
	}
	is.Equal(len(b.list), maxBreaks)
	is.Equal(len(b.take(start, "s0")), 0)
	is.Equal(b.take(start, fmt.Sprint("s", 2*maxBreaks-1)), []runworks.Fingerprint{runworks.Fingerprint(fmt.Sprint(2*maxBreaks - 1))})
	b.add(start.Add(time.Minute), "f", "s")
	is.Equal(len(b.list), 1)
}
