package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// RoutedEvents is a form of the events of streams in which IDs count tokens. A call with events=N in its query gets N tokens.
type RoutedEvents struct {
	// Tokens is the most tokens of an event; 0 for events without tokens. Where an event ends depends on it, so that servers
	// with different ones divide a stream differently.
	Tokens int `json:"tokens"`
	// Weights, unless 0, is the number of tokens after which the weights change. The first event of each response, and each
	// at which they change, begins with a line that has their version.
	Weights int `json:"weights"`
	// LineEnd ends lines; empty for LF.
	LineEnd string `json:"line_end"`
	// IDFormat is that of the value of an ID; empty for "%d". IDLast sends the ID behind the data.
	IDFormat string `json:"id_format"`
	IDLast   bool   `json:"id_last"`
	// Comments and Pings, unless 0, are the numbers of events after each of which a comment, and an event without an ID, come.
	Comments int `json:"comments"`
	Pings    int `json:"pings"`
	// CutPath, unless empty, is how the paths of calls begin whose responses are cut inside an event, each CutStep bytes
	// further than the last one. Those that continue a stream are cut if CutsRests is set.
	CutPath   string `json:"cut_path"`
	CutsRests bool   `json:"cuts_rests"`
	// CutFrom is the byte behind which the first one is cut, from the end if it is below 0, and CutStep the bytes from one to the
	// next.
	CutFrom int `json:"cut_from"`
	CutStep int `json:"cut_step"`
}

// HeaderWeights is the header and, in lower case, the line of events that has the version of a server's weights.
const HeaderWeights = "X-Weight-Versions"

// RoutedPing is the data of events without an ID.
const RoutedPing = "ping"

// WeightsOf returns the version of the weights that made a token, counted from 1.
func (e *RoutedEvents) WeightsOf(token int) int { return 1 + (token-1)/e.Weights }

// lastOf returns the last token of the event that begins with a token of a stream that has some more.
func (e *RoutedEvents) lastOf(first, tokens int) int {
	return min(first+(first-1)%e.Tokens, tokens)
}

// ID returns the ID of the event whose last token is given.
func (e *RoutedEvents) ID(last int) string {
	if e.IDFormat == "" {
		return strconv.Itoa(last)
	}
	return fmt.Sprintf(e.IDFormat, last)
}

// event returns the event with the tokens from first to last. origin is a further line of data, and named is set if the event
// has the version of the weights.
func (e *RoutedEvents) event(target, origin string, first, last int, named bool) []byte {
	id := "id: " + e.ID(last)
	lines := []string{id, fmt.Sprintf("data: %s %d %d", target, first, last), "data: " + origin}
	if e.IDLast {
		lines = append(lines[1:], id)
	}
	if named {
		lines = append([]string{fmt.Sprintf("%s: %d", strings.ToLower(HeaderWeights), e.WeightsOf(last))}, lines...)
	}
	return e.block(lines...)
}

// RoutedTokens returns an event of a stream with tokens, with the version of the weights if there is one. origin is a further
// line of data.
func RoutedTokens(form *RoutedEvents, target, origin string, first, last int) []byte {
	return form.event(target, origin, first, last, form.Weights > 0)
}

// block returns lines with their ends, and the empty line.
func (e *RoutedEvents) block(lines ...string) []byte {
	end := e.LineEnd
	if end == "" {
		end = "\n"
	}
	return []byte(strings.Join(lines, end) + end + end)
}

// streamTokens sends the tokens after the last one that the caller has.
func (b *RoutedServer) streamTokens(w http.ResponseWriter, r *http.Request, form *RoutedEvents, last, tokens int) {
	controller := http.NewResponseController(w)
	send := func(data []byte) {
		_, _ = w.Write(data)
		_ = controller.Flush()
	}
	cutAt, cut := b.cutAt(r, form, last)
	origin := fmt.Sprintf("%s %s/%s", b.Version, b.Instance, r.Header.Get(HeaderRoutedID))
	weights := 0
	for n, first := 1, last+1; first <= tokens; n++ {
		b.waitForEvent(r)
		end := form.lastOf(first, tokens)
		named := form.Weights > 0 && form.WeightsOf(end) != weights
		if named {
			weights = form.WeightsOf(end)
		}
		event := form.event(r.RequestURI, origin, first, end, named)
		if cut && n == cutAfter+cutAt%cutEvents {
			inside := len(event) - 1
			send(event[:1+(inside+form.CutFrom+cutAt*form.CutStep)%inside])
			panic(http.ErrAbortHandler)
		}
		send(event)
		if form.Comments > 0 && n%form.Comments == 0 {
			send(form.block(": " + strconv.Itoa(n)))
		}
		if form.Pings > 0 && n%form.Pings == 0 {
			send(form.block("event: "+RoutedPing, "data: "+RoutedPing))
		}
		first = end + 1
	}
}

const (
	// cutAfter is the number of whole events, less one, before the first that may be cut, and cutEvents the number of those.
	cutAfter  = 3
	cutEvents = 5
)

// cutAt returns the number of a cut, counted from 0, if a response is to be cut.
func (b *RoutedServer) cutAt(r *http.Request, form *RoutedEvents, last int) (int, bool) {
	if form.CutPath == "" || !strings.HasPrefix(r.URL.Path, form.CutPath) || last > 0 && !form.CutsRests {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cuts++
	return b.cuts - 1, true
}
