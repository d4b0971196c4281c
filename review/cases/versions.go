package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// resumedStreams is the number of streams, of resumedEvents events each, resumedGap apart.
	resumedStreams = 18
	resumedEvents  = 40
	resumedGap     = 60 * time.Millisecond
	// resumedTimeout is how long a caller waits, with both attempts.
	resumedTimeout = 4 * time.Second
	// releaseAfter is when the new engine of the release starts, removedAfter when the entry of the old one
	// goes, and herdKillAfter when all fronts are killed, each after the previous step. They start again
	// herdDownFor later.
	releaseAfter  = 200 * time.Millisecond
	removedAfter  = 200 * time.Millisecond
	herdKillAfter = 500 * time.Millisecond
	herdDownFor   = 800 * time.Millisecond
	// retryWait is the time between two attempts to open a channel while no front listens.
	retryWait = 100 * time.Millisecond
	// allowedMixed is the number of streams that may hold events of two versions by the rule.
	allowedMixed = 2
)

// playVersions plays a release whose last engine of the old version has left the list of engines and serves
// on, and the kill of all fronts in that time. Callers resume their streams at the fronts that start.
func playVersions(s *site) (bool, error) {
	engines := make([]*engine, 4)
	for i := range engines {
		engines[i] = &engine{site: s, id: fmt.Sprintf("llm-%d", i+1), version: "v2", gap: resumedGap}
		if err := engines[i].start(); err != nil {
			return false, err
		}
	}
	old, added := engines[0], engines[3]
	old.version = "v1"
	for _, e := range engines[:3] {
		if err := s.list(e.id, "yard-llm", e.address, e.version, 7); err != nil {
			return false, err
		}
	}
	if err := s.startFronts("front-1", "front-2"); err != nil {
		return false, err
	}
	var work sync.WaitGroup
	bodies := make([]string, resumedStreams)
	for i := range bodies {
		work.Go(func() { bodies[i] = s.follow(i) })
	}
	time.Sleep(releaseAfter)
	if err := s.release(old, added); err != nil {
		return false, err
	}
	work.Wait()
	mixed := 0
	for i, body := range bodies {
		versions := [2]int{strings.Count(body, "data: v1 "), strings.Count(body, "data: v2 ")}
		s.note("stream %d: %d events of v1, %d of v2", i, versions[0], versions[1])
		if versions[0] > 0 && versions[1] > 0 {
			mixed++
		}
	}
	s.note("streams %d, with events of two versions %d", resumedStreams, mixed)
	fmt.Printf("streams %d, with events of two versions %d\n", resumedStreams, mixed)
	return mixed > allowedMixed, nil
}

// release replaces an engine by another one, and kills all fronts meanwhile.
func (s *site) release(old, added *engine) error {
	if err := s.list(added.id, "yard-llm", added.address, added.version, 7); err != nil {
		return err
	}
	time.Sleep(removedAfter)
	if err := s.unlist(old.id); err != nil {
		return err
	}
	time.Sleep(herdKillAfter)
	if !s.trouble {
		return nil
	}
	s.note("all fronts are killed")
	for _, f := range s.fronts {
		f.process().kill()
	}
	time.Sleep(herdDownFor)
	for _, f := range s.fronts {
		if err := f.start(); err != nil {
			return err
		}
	}
	return nil
}

// follow reads a stream and resumes it once, at the other front, if it is broken off. It returns the events.
func (s *site) follow(i int) string {
	first := &call{id: fmt.Sprintf("stream-%d-1", i), method: "POST", path: fmt.Sprintf("/compliance/%d?events=%d", i, resumedEvents), timeout: resumedTimeout, body: "{}"}
	began := time.Now()
	a := s.attempt(s.fronts[i%len(s.fronts)], first)
	if a.complete {
		return string(a.body)
	}
	body := string(a.body)
	if end := strings.LastIndex(body, "\n\n"); end >= 0 {
		body = body[:end+2] // an event that is not whole doesn't count
	}
	again := *first
	again.id = fmt.Sprintf("stream-%d-2", i)
	again.timeout = resumedTimeout - time.Since(began)
	again.header = map[string]string{"Last-Event-Id": fmt.Sprint(events([]byte(body))), "Resumes": first.id}
	a = s.attempt(s.fronts[(i+1)%len(s.fronts)], &again)
	if a.status != 200 {
		return body
	}
	return body + string(a.body)
}

// attempt sends a request on a new channel, once a front listens and is ready.
func (s *site) attempt(f *front, one *call) answer {
	var ch *channel
	err := errNotRun
	for limit := time.Now().Add(readyTimeout); err != nil && time.Now().Before(limit); {
		if f.isReady() {
			ch, err = open(f.listen)
		}
		if err != nil {
			time.Sleep(retryWait)
		}
	}
	if err != nil {
		s.note("%s: %v", one.id, err)
		return answer{err: err}
	}
	defer ch.close()
	a := ch.do(one, nil)
	s.note("%s at %s: %s", one.id, f.name, a.text())
	return a
}
