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

// TestScripts runs what entries observe and send to each other: each line has the time since the
// start, the entry, an action and a request. Each entry keeps its updates; tell sends them on,
// tell-backwards in reverse order.
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
	updates []runworks.Suspect
	out     *strings.Builder
}

func newScripted() *scripted {
	s := &scripted{}
	s.Quarantine = &Quarantine{
		ExitThreshold: 3, Duration: time.Hour,
		OnUpdate: func(n runworks.Suspect, record bool) {
			s.updates = append(s.updates, n)
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

func (s *scripted) step(t *testing.T, now time.Time, entries map[string]*scripted, args []string) {
	t.Helper()
	verb, what := args[0], runworks.Fingerprint(args[1])
	switch verb {
	case "exit":
		s.AttributeExit(now, what, args[2])
	case "disconnect":
		s.RecordDisconnect(now, what, args[2])
	case "gone":
		fmt.Fprintf(s.out, "gone %v\n", s.ServerRemoved(now, args[1]))
	case "answered":
		s.RecordAnswer(now, what)
	case "release":
		fmt.Fprintf(s.out, "known %t\n", s.Release(now, what))
	case "held-for":
		fmt.Fprintf(s.out, "%s wait %s\n", what, s.HeldFor(now, what))
	case "tell":
		entries[args[1]].Apply(now, s.updates)
	case "tell-backwards":
		for i := range s.updates {
			entries[args[1]].Apply(now, s.updates[len(s.updates)-1-i:][:1])
		}
	case "tell-all":
		entries[args[1]].Apply(now, s.List(now))
	default:
		t.Fatalf("no verb %s", verb)
	}
}

// TestBounds checks the bounds on suspects and exits: quarantined requests stay, and of the
// others the newest.
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
	for i := range 2 * maxExits {
		q.AttributeExit(start.Add(time.Duration(i)*time.Second), "held", fmt.Sprint("t", i))
	}
	ends := q.Get("held").Exits
	is.Equal(len(ends), maxExits)
	is.Equal(ends[maxExits-1].Server, fmt.Sprint("t", 2*maxExits-1))
	is.Equal(len(q.List(start.Add(3*time.Hour))), 0)
	is.True(q.Empty())
}

// TestAnswersAreBounded checks that only the last answers are kept.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	var a answers
	for i := range 2 * maxAnswers {
		a.add(start, runworks.Fingerprint(fmt.Sprint(i)))
	}
	is.Equal(len(a.lastAt), maxAnswers)
	is.True(!a.has(start, "0"))
	is.True(a.has(start, runworks.Fingerprint(fmt.Sprint(2*maxAnswers-1))))
}

// TestZeroValue checks that no request is quarantined without a threshold.
func TestZeroValue(t *testing.T) {
	is := is.New(t)
	var q Quarantine
	for i := range 10 {
		q.AttributeExit(start, "f", fmt.Sprint(i))
	}
	is.Equal(q.HeldFor(start, "f"), time.Duration(0))
}

// TestDisconnectsAreBounded checks that only the last disconnects are kept.
func TestDisconnectsAreBounded(t *testing.T) {
	is := is.New(t)
	var b disconnects
	for i := range 2 * maxDisconnects {
		b.add(start, runworks.Fingerprint(fmt.Sprint(i)), fmt.Sprint("s", i))
	}
	is.Equal(len(b.list), maxDisconnects)
	is.Equal(len(b.take(start, "s0")), 0)
	is.Equal(b.take(start, fmt.Sprint("s", 2*maxDisconnects-1)), []runworks.Fingerprint{runworks.Fingerprint(fmt.Sprint(2*maxDisconnects - 1))})
	b.add(start.Add(time.Minute), "f", "s")
	is.Equal(len(b.list), 1)
}
