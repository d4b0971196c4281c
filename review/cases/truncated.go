package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// chatStreams is the number of streams, of chatEvents events each, chatGap apart.
	chatStreams = 9
	chatEvents  = 25
	chatGap     = 100 * time.Millisecond
	chatTimeout = 15 * time.Second
	// cutAfter is when the engine is cut off, for cutFor. It crashes crashAfter later, and is back rebornAfter
	// after that.
	cutAfter    = 800 * time.Millisecond
	crashAfter  = 300 * time.Millisecond
	rebornAfter = 1200 * time.Millisecond
	cutFor      = 2500 * time.Millisecond
)

// playTruncated plays an engine that crashes behind a cut and starts again, while it sends streams with
// neither a length nor chunks.
func playTruncated(s *site) (bool, error) {
	target := freeAddress()
	first, err := s.startServer("llm-1", target)
	if err != nil {
		return false, err
	}
	path, err := s.newLink(target)
	if err != nil {
		return false, err
	}
	if err := s.list("llm-1", "yard-llm", path.address, "v1", 7); err != nil {
		return false, err
	}
	for _, id := range []string{"llm-3", "llm-4"} {
		address := freeAddress()
		if _, err := s.startServer(id, address); err != nil {
			return false, err
		}
		if err := s.list(id, "yard-llm", address, "v1", 7); err != nil {
			return false, err
		}
	}
	if err := s.startFronts("front-1"); err != nil {
		return false, err
	}
	var work sync.WaitGroup
	answers := make([]answer, chatStreams)
	for i := range answers {
		work.Go(func() { answers[i] = s.chat(s.fronts[0], fmt.Sprintf("chat-%d", i)) })
	}
	if s.trouble {
		if err := s.crashBehindCut(path, first, target); err != nil {
			return false, err
		}
	}
	work.Wait()
	truncated := 0
	for i := range answers {
		if answers[i].complete && answers[i].status == 200 && events(answers[i].body) < chatEvents {
			truncated++
		}
	}
	s.note("streams %d, ended as complete before their last event %d", chatStreams, truncated)
	fmt.Printf("streams %d, ended as complete before their last event %d\n", chatStreams, truncated)
	return truncated > 0, nil
}

// startServer starts the project's stand-in of an engine, which sends streams without length or chunks.
func (s *site) startServer(id, address string) (*process, error) {
	p, err := s.startProcess(id, standinProgram, "routed", "--instance", id, "--delay", chatGap.String(), "--listen", address)
	if err != nil {
		return nil, err
	}
	if _, err := p.address("standin"); err != nil {
		return nil, err
	}
	return p, post("http://"+address+"/control", []byte(`{"close_delimited": true}`))
}

// crashBehindCut cuts off an engine, which crashes and starts again with a new id, and ends the cut.
func (s *site) crashBehindCut(path *link, engine *process, target string) error {
	time.Sleep(cutAfter)
	s.note("the engine is cut off")
	path.cut()
	defer func() {
		s.note("the cut ends")
		path.heal()
	}()
	healed := time.After(cutFor)
	time.Sleep(crashAfter)
	engine.kill()
	s.note("the engine has crashed")
	time.Sleep(rebornAfter)
	if _, err := s.startServer("llm-2", target); err != nil {
		return err
	}
	s.note("the engine has started again")
	if err := s.list("llm-2", "yard-llm", path.address, "v1", 7); err != nil {
		return err
	}
	<-healed
	return nil
}

// chat sends one stream request and reads the answer.
func (s *site) chat(f *front, id string) answer {
	ch, err := open(f.listen)
	if err != nil {
		return answer{err: err}
	}
	defer ch.close()
	a := ch.do(&call{id: id, method: "POST", path: fmt.Sprintf("/chat/%s?events=%d", id, chatEvents), timeout: chatTimeout, body: "{}"}, nil)
	s.note("%s: %s", id, a.text())
	return a
}
