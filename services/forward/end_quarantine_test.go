package forward

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestWholeUnframedAnswersAreNoDisconnects guards against sound requests that are quarantined, as their answers, which were
// whole, had neither a length nor chunks, and three servers crash seconds later for another reason.
func TestWholeUnframedAnswersAreNoDisconnects(t *testing.T) {
	for _, name := range []string{"once", "safe", "stream"} {
		for _, first := range []reply{good, delimited(event(1))} {
			t.Run(fmt.Sprint(name, " ", first.closeDelimited), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newQuarantiningForwarder(t, &sender{replies: []reply{first}})
					for n, one := range threeServers("s") {
						f.Dispatcher.SetServers([]runworks.Instance{one})
						_ = serveParts(f, callWithParts(name, n, "base", "sound"))
						time.Sleep(time.Second)
					}
					time.Sleep(2 * time.Second)
					for _, one := range threeServers("s") {
						f.Quarantine.ServerRemoved(time.Now(), one.IncarnationID())
						time.Sleep(time.Second)
					}
					replaceServers(f, 9)
					err := serveParts(f, callWithParts("safe", 99, "base", "sound"))
					is.True(!errors.Is(err, runworks.ErrQuarantined))
				})
			})
		}
	}
}
