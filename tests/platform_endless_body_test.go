package tests

import (
	"testing"

	"github.com/runworks/runworks/standin"
)

// TestPlatformEndlessBodyIsPassedOn guards against a front that passes a body without end on until the time
// limit of its call, and holds up the calls of sound servers.
func TestPlatformEndlessBodyIsPassedOn(t *testing.T) {
	for _, c := range []endlessCase{
		{kind: standin.EndlessBody, service: "app", target: endlessOnce, timeout: endlessOnceTimeout, sound: endlessStream},
		{kind: standin.EndlessChunks, service: "app", target: endlessOnce, timeout: endlessOnceTimeout, sound: endlessStream},
		{kind: standin.EndlessLength, service: "app", target: endlessOnce, timeout: endlessOnceTimeout, sound: endlessStream},
		{kind: standin.EndlessSurplus, service: "app", target: endlessOnce, timeout: endlessOnceTimeout, sound: endlessStream, answered: true},
		{kind: standin.EndlessEvent, service: "llm", target: endlessStream, timeout: endlessStreamTimeout, sound: endlessOnce},
		{kind: standin.EndlessEvents, service: "llm", target: endlessStream, timeout: endlessStreamTimeout, sound: endlessOnce},
		{kind: standin.EndlessLines, service: "llm", target: endlessStream, timeout: endlessStreamTimeout, sound: endlessOnce},
	} {
		c.run(t)
	}
}
