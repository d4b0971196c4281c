package dispatch

// average is a mean that forgets: each value moves it by its weight. It is 0 as long
// as there was none, and the first value is taken whole.
type average float64

// add takes a value, with a weight from 0 to 1.
func (a *average) add(value, weight float64) {
	if *a == 0 {
		*a = average(value)
		return
	}
	*a += average(weight * (value - float64(*a)))
}
