package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEstimateFits learns rates by rank, and tells what is worth beginning.
func TestEstimateFits(t *testing.T) {
	is := is.New(t)
	var e estimate
	is.True(e.fits(0, 1000, time.Millisecond)) // nothing is known yet
	for range 100 {
		e.learn(0, 100, time.Second)
		e.learn(1, 100, 10*time.Second)
	}
	is.True(e.fits(0, 1000, 5*time.Second)) // half of the ten seconds expected
	is.True(!e.fits(0, 1000, 4900*time.Millisecond))
	is.True(!e.fits(1, 1000, 49*time.Second))
	for range 100 {
		e.learn(0, 100, 2*time.Second) // the backend server has become slow
	}
	is.True(!e.fits(0, 1000, 9*time.Second))
}
