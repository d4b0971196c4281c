package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEstimateFits checks that run times are averaged for each rank, and which requests fit in
// the time left.
func TestEstimateFits(t *testing.T) {
	is := is.New(t)
	var e durationEstimate
	is.True(e.fits(0, 1000, time.Millisecond)) // no samples
	for range 100 {
		e.add(0, 100, time.Second)
		e.add(1, 100, 10*time.Second)
	}
	is.True(e.fits(0, 1000, 5*time.Second)) // half of the ten seconds expected
	is.True(!e.fits(0, 1000, 4900*time.Millisecond))
	is.True(!e.fits(1, 1000, 49*time.Second))
	for range 100 {
		e.add(0, 100, 2*time.Second) // the backend server has become slow
	}
	is.True(!e.fits(0, 1000, 9*time.Second))
}
