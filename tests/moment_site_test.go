package tests

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/runworks/runworks/standin"
)

const (
	// momentSubjects is the number of streams that stop at points, and momentStart the time between two of all streams.
	momentSubjects = 3
	momentStart    = 7 * time.Millisecond
	// momentAfter is the number of streams that begin after each event, and momentEarly that of the events after which their
	// callers leave and take them up.
	momentAfter = 4
	momentEarly = 1
	// momentLength is the number of events of a stream that stops, momentBesideLength that of the others, and momentDelay the
	// time before each event.
	momentLength       = 12
	momentBesideLength = 40
	momentDelay        = 25 * time.Millisecond
	// momentCut, momentInside and momentBetween are the numbers of the events behind which a stream breaks off that is to be
	// resumed, inside which it stops, and behind which it stops. momentLateCut is where one breaks off that has stopped before.
	momentCut     = 4
	momentInside  = 6
	momentBetween = 8
	momentLateCut = 10
	// momentLimit is how long an effect lasts at most while the stream does not reach the second point.
	momentLimit = 700 * time.Millisecond
	// momentSame is how long a stream has to reach the second point after another one has.
	momentSame = 300 * time.Millisecond
	momentPoll = 5 * time.Millisecond
	// momentTurn is how long a process runs of each momentPeriod if it gets little of its processor.
	momentTurn   = 10 * time.Millisecond
	momentPeriod = 200 * time.Millisecond
)

// momentBeside are the kinds of the streams beside those that stop at points.
var momentBeside = []momentKind{momentStreams, momentResumable, momentOnce, momentRepeatable, momentStreams, momentResumable, momentStreams, momentOnce, momentRepeatable}

// momentServer is a backend server, which keeps its output when it is gone.
type momentServer struct {
	*process
	id, version string
	// path is the one through which fronts reach the address of its record, and listed the ID of that record.
	path   *proxy
	listed string
	frozen bool
}

// momentSite is a site of two fronts and three servers that are reached through paths. The third server is of the first one's
// version, so that a stream of this version can go on.
type momentSite struct {
	*platformSite
	play momentPlay
	// tag is the end of the key of callers and of the servers' IDs. As no other site has them, what reaches a process of another
	// one, by the port of one that has ended, is refused there.
	tag     string
	servers []*momentServer
	// spares are servers that have no record yet, by the number of the event that uses them.
	spares map[int]*momentServer
	// callers and peers are the paths to fronts and stores those to the store, by the name of the front, and ending the
	// processes that events end.
	callers, peers, stores map[string]*proxy
	ending                 map[*process]bool
	settings               map[string]string
	reloads                int
	documents              int
	// service is that of the routes of streams, and limited is set while their customer has next to no rate.
	service string
	limited bool
	// storeAway is set while the store takes no record.
	storeAway bool
	streams   []*momentStream
	stops     []standin.Stop
	work      sync.WaitGroup
}

// moment is a point that a stream has reached.
type moment struct {
	stream *momentStream
	server *momentServer
	// front is the name of the front that the attempt was sent to, and other that of the other one.
	front, other string
	// event is the number of the event that happens there.
	event int
}

// momentSites is the number of sites so far.
var momentSites atomic.Int64

func newMomentSite(t *testing.T, play momentPlay) *momentSite {
	p := &momentSite{platformSite: newBarePlatformSite(t), play: play, tag: fmt.Sprintf("%d.%d", os.Getpid(), momentSites.Add(1)), spares: map[int]*momentServer{}, callers: map[string]*proxy{}, peers: map[string]*proxy{}, stores: map[string]*proxy{}, ending: map[*process]bool{}, settings: map[string]string{}}
	p.putRoutes("llm")
	if play.form.completeAtClose {
		p.extraSettings = completeAtClose
	}
	for i, version := range []string{"v1", "v2", "v1"} {
		if !play.versions {
			version = "v1"
		}
		p.addListed(p.serverID("llm", i+1), version)
	}
	if play.needs(momentEvent.movesRoute) {
		p.addListed(p.serverID("alt", 1), "v2")
	}
	for _, name := range []string{"front-1", "front-2"} {
		p.addFront(name)
	}
	for _, name := range []string{"front-1", "front-2"} {
		p.waitReady(name, 2)
		p.callers[name] = newProxy(t, p.fronts[name].address("callers"))
	}
	p.post("http://"+p.store.address("standin")+"/copy", nil)
	for i, event := range play.events() {
		if event.spare != nil {
			version := "v2"
			if event.version != "" {
				version = event.version
			}
			p.spares[i] = p.newServer(p.serverID("llm", 8+i), version, event.spare...)
		}
	}
	return p
}

// key returns the key of callers.
func (p *momentSite) key() string { return "yard-key-" + p.tag }

// serverID returns the ID of a server of a service.
func (p *momentSite) serverID(service string, n int) string {
	return fmt.Sprintf("%s-%d-%s", service, n, p.tag)
}

// newServer starts a server that has no record.
func (p *momentSite) newServer(id, version string, args ...string) *momentServer {
	args = append(args, "--instance", id, "--tell", "--delay", momentDelay.String(), "--software", version)
	if p.play.form.http10 {
		args = append(args, "--http10")
	}
	name := id
	if slices.ContainsFunc(p.servers, func(s *momentServer) bool { return s.id == id }) {
		name += " again"
	}
	s := &momentServer{process: startProcess(p.t, name, "standin", append([]string{"routed"}, args...)...), id: id, version: version, listed: id}
	p.setFaults(s.process, p.play.form.faults())
	p.servers = append(p.servers, s)
	p.setStopsAt(s)
	return s
}

// addListed starts a server behind a path, and writes its record.
func (p *momentSite) addListed(id, version string) {
	s := p.newServer(id, version)
	s.path = newProxy(p.t, s.address("standin"))
	p.backends[id] = s.process
	p.putRecord(s, "ready")
}

// addFront starts a front that reaches the store, and that the other one reaches, through paths.
func (p *momentSite) addFront(name string) {
	p.peers[name], p.stores[name] = newProxy(p.t, ""), newProxy(p.t, p.store.address("standin"))
	p.settings[name] = p.proxiedSettings(name, p.stores[name], p.peers[name])
	p.runFront(name)
}

func (p *momentSite) runFront(name string) {
	p.fronts[name] = startProcess(p.t, name, "runworks", "front", "--settings", p.settingsFile(name, p.settings[name]))
	p.peers[name].setTarget(p.fronts[name].address("fronts"))
}

// nameOf returns the name of a front as seen from the stream.
func (m *moment) nameOf(at momentProcess) string {
	if at == momentFront {
		return m.front
	}
	return m.other
}
