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
	// worstSpans is how many of the worst spans of two seconds are told in detail.
	worstSpans = 3
	// waitedPart is from which part of its target on a late call counts as late by waiting.
	waitedPart = 0.5
	// maxLine bounds a line of the log.
	maxLine = 1 << 20
)

// errNoTable says that the input holds no table of the day's spans.
var errNoTable = errors.New("no table that begins with 'from second': the bench's whole output is needed, with --log all")

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "lost:", err)
		os.Exit(1)
	}
}

// ended is what is read of a log line `call ended`.
type ended struct {
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

// reason says at which step a call missed its target, or that it did not.
func (e *ended) reason() string {
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
	case e.FirstByteMs > e.TargetMs && e.WaitedMs > waitedPart*e.TargetMs:
		return "late: waited"
	case e.FirstByteMs > e.TargetMs:
		return "late: first event"
	case e.MaxGapMs > 0 && e.LongestPause > e.MaxGapMs:
		return "late: pause"
	}
	return "on time"
}

// span is two seconds of the day.
type span struct {
	from  int
	worth float64
	row   string
	calls counts
}

// counts are calls by rank and reason.
type counts map[string]int

// day is what the input tells.
type day struct {
	all   counts
	spans map[int]*span
}

// run reads a day and tells what it lost.
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
			d.row(line)
		default:
			d.note(line)
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

// row reads a span's line of the table: its second, and its worth behind six counts.
func (d *day) row(line string) {
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
		return // "-": nothing was owed
	}
	s := d.span(from)
	s.row, s.worth = line, worth
}

// note counts the call of a line of the log: its time, the front, and the JSON.
func (d *day) note(line string) {
	i := strings.IndexByte(line, '{')
	if i < 0 || !strings.Contains(line, `"call ended"`) {
		return
	}
	var e ended
	if json.Unmarshal([]byte(line[i:]), &e) != nil || e.Route == "" || e.TargetMs == 0 {
		return // a line cut short, or a call on a route that only probes
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
	came := int(at-e.TookMs/1000) / 2 * 2
	d.all[key]++
	d.span(came).calls[key]++
}

// print tells the counts, the most frequent reasons of each rank first.
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
