// Command review-cases plays the cases of the review: it starts fronts and stand-ins as separate
// processes on loopback addresses, brings about a disruption, and checks a rule by what callers,
// servers and the platform saw.
package main

import (
	"errors"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun means that a case could not run, so that it says nothing about the rule.
var errNotRun = errors.New("the case could not run")

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*site) (broken bool, err error){
	"garbage":   playGarbage,
	"truncated": playTruncated,
	"versions":  playVersions,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code. The record is written to a folder.
func play(name, folder string) int {
	s, err := newSite(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	broken, err := cases[name](s)
	switch {
	case err != nil:
		s.note("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
