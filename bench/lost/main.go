package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
)

const (
	// worstSpans is the number of two-second spans, lowest worth first, printed in detail.
	worstSpans = 3
	// waitedFraction is the fraction of its target that a late call must have waited in the queue
	// to count as late because of it.
	waitedFraction = 0.5
	// maxLine bounds a line of the input in bytes.
	maxLine = 1 << 20
)

// errNoTable reports input without the table of the day's spans.
var errNoTable = errors.New("no table that begins with 'from second': the bench's whole output is needed, with --log all")

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lost:", err)
		os.Exit(1)
	}
}

// callEnded holds the fields that are read from a log line "call ended".
type callEnded struct {
	Message      string   `json:"@message"`
	Route        string   `json:"route"`
	Rank         int      `json:"route_rank"`
	Outcome      string   `json:"outcome"`
	Cause        string   `json:"cause"`
	TookMs       float64  `json:"took_ms"`
	WaitedMs     float64  `json:"waited_ms"`
	FirstByteMs  float64  `json:"first_byte_ms"`
	LongestPause float64  `json:"longest_pause_ms"`
	TargetMs     float64  `json:"target_ms"`
	MaxGapMs     float64  `json:"max_gap_ms"`
	Servers      []string `json:"servers"`
}

// reason returns the step at which a call missed its target, or "on time".
func (e *callEnded) reason() string {
	switch {
	case strings.Contains(e.Cause, "customer_limit"):
		return "limit"
	case strings.Contains(e.Cause, "unknown_key"):
		return "unknown key"
	case e.Outcome == "not-run" && strings.Contains(e.Cause, "shortage"):
		return "refused: no room"
	case e.Outcome == "not-run":
		return "refused: other"
	case e.Outcome == "failed":
		return "failed at the server"
	case e.Outcome != "done" && len(e.Servers) == 0:
		return "left while it waited"
	case e.Outcome != "done":
		return "cut"
	case e.FirstByteMs > e.TargetMs && e.WaitedMs > waitedFraction*e.TargetMs:
		return "late: waited"
	case e.FirstByteMs > e.TargetMs:
		return "late: first event"
	case e.MaxGapMs > 0 && e.LongestPause > e.MaxGapMs:
		return "late: pause"
	}
	return "on time"
}

// span is a two-second interval of the day.
type span struct {
	from  int
	worth float64
	row   string
	calls counts
}

// counts holds the number of calls by kind, rank and reason.
type counts map[string]int

// day is the parsed input. The spans are keyed by their first second.
type day struct {
	all   counts
	spans map[int]*span
}

// run reads a day from in and writes the counts of missed targets to out.
func run(in io.Reader, out io.Writer) error {
	d := &day{all: counts{}, spans: map[int]*span{}}
	if err := d.read(in); err != nil {
		return err
	}
	d.all.print(out, "the day")
	var list []*span
	for _, s := range d.spans {
		if s.row != "" {
			list = append(list, s)
		}
	}
	if len(list) == 0 {
		return errNoTable
	}
	slices.SortFunc(list, func(a, b *span) int { return cmp.Or(cmp.Compare(a.worth, b.worth), cmp.Compare(a.from, b.from)) })
	for _, s := range list[:min(worstSpans, len(list))] {
		s.calls.print(out, fmt.Sprintf("from second %d, worth %.3f", s.from, s.worth))
	}
	return nil
}

func (d *day) read(in io.Reader) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	table := false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "from second"):
			table = true
		case table && strings.TrimSpace(line) == "":
			table = false
		case table:
			d.parseRow(line)
		default:
			d.countCall(line)
		}
	}
	return lines.Err()
}

func (d *day) span(from int) *span {
	s := d.spans[from]
	if s == nil {
		s = &span{from: from, calls: counts{}}
		d.spans[from] = s
	}
	return s
}

// parseRow reads a span's row of the table: its first second, and its worth after six counts.
func (d *day) parseRow(line string) {
	const worthField = 7
	fields := strings.Fields(line)
	if len(fields) <= worthField {
		return
	}
	from, err := strconv.Atoi(fields[0])
	if err != nil {
		return
	}
	worth, err := strconv.ParseFloat(fields[worthField], 64)
	if err != nil {
		return // "-": no call counted in this span
	}
	s := d.span(from)
	s.row, s.worth = line, worth
}

// countCall counts the call of a log line, which consists of its time, the front and the JSON.
// The call counts for the span in which it arrived.
func (d *day) countCall(line string) {
	i := strings.IndexByte(line, '{')
	if i < 0 || !strings.Contains(line, `"call ended"`) {
		return
	}
	var e callEnded
	if json.Unmarshal([]byte(line[i:]), &e) != nil || e.Route == "" || e.TargetMs == 0 {
		return // a truncated line, or a call on a probe route
	}
	fields := strings.Fields(line[:i])
	if len(fields) == 0 {
		return
	}
	at, err := strconv.ParseFloat(fields[0], 64)
	if err != nil {
		return
	}
	kind := "plain"
	if e.MaxGapMs > 0 {
		kind = "stream"
	}
	key := fmt.Sprintf("%s rank %d\t%s", kind, e.Rank, e.reason())
	arrival := int(at-e.TookMs/1000) / 2 * 2
	d.all[key]++
	d.span(arrival).calls[key]++
}

// print writes the counts, the most frequent reasons of each kind and rank first.
func (c counts) print(out io.Writer, title string) {
	fmt.Fprintln(out, title)
	var keys []string
	for key := range c {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		kindA, _, _ := strings.Cut(a, "\t")
		kindB, _, _ := strings.Cut(b, "\t")
		return cmp.Or(cmp.Compare(kindA, kindB), cmp.Compare(c[b], c[a]), cmp.Compare(a, b))
	})
	for _, key := range keys {
		fmt.Fprintf(out, "  %s %d\n", strings.Replace(key, "\t", ": ", 1), c[key])
	}
}
