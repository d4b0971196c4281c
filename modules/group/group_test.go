package group

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestCloseWaitsAndRefuses checks that Close waits for a running goroutine, and that Go refuses
// another one meanwhile.
func TestCloseWaitsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var g Group
		release, closed := make(chan struct{}), make(chan struct{})
		is.True(g.Go(func() { <-release }))
		go func() {
			g.Close()
			close(closed)
		}()
		synctest.Wait()
		is.True(!g.Go(func() {})) // refused while closing
		select {
		case <-closed:
			t.Fatal("closed while a goroutine runs")
		default:
		}
		close(release)
		<-closed
	})
}
