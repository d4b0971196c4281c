package dispatch

// average is an exponentially weighted moving average. It is 0 until the first value is
// added, which it takes over unchanged.
type average float64

// add adds a value with a weight from 0 to 1.
func (a *average) add(value, weight float64) {
	if *a == 0 {
		*a = average(value)
		return
	}
	*a += average(weight * (value - float64(*a)))
}
