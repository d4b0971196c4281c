package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusalCauses guards against an operator who can't see why calls were refused: in a rush of one
// customer, the refusals on arrival name its share, and each refusal has a time with a basis.
func TestRefusalCauses(t *testing.T) {
	is := is.New(t)
	l := burstOfTwoRanks(false)
	l.kinds = l.kinds[:1]
	l.kinds[0].perSecond, l.kinds[0].timeout, l.kinds[0].rush, l.to = 20, 15*time.Second, 8, l.span
	causes, bases := map[RefusalCause]int{}, map[string]int{}
	l.onRefuse = func(rank int, cause RefusalCause, basis string) {
		is.Equal(rank, 0)
		causes[cause]++
		bases[basis]++
	}
	l.simulate(t, 1, 10)
	t.Log(causes, bases)
	is.True(causes[CauseCustomerShare] > 10*causes[CauseArrival])
	is.Equal(causes[CauseQueueFull], 0)
	is.Equal(causes[CauseArrival]+causes[CauseCustomerShare]+causes[CauseOvertaken]+causes[CauseTarget], l.kinds[0].refused)
	is.True(bases["promised"] > 0 && bases["spread"] > 0)
}

// TestRefusalNamesTheFiguresOfTheDecision guards against a cause in the log from which it can't be seen why
// a call was refused.
func TestRefusalNamesTheFiguresOfTheDecision(t *testing.T) {
	is := is.New(t)
	v := loaded(150, 0, 150, 0)
	a := &admission{ahead: 150, target: 1, leaves: 8}
	_, onTime, late := v.decide(a)
	is.True(strings.HasPrefix(capacityError(a, false, onTime, late).Error(), "150 calls of its rank wait ahead, a start in 1510 ms, the target in 1000 ms, and no capacity is left for late calls"))
	is.True(strings.HasPrefix(capacityError(a, true, 2, 3).Error(), "its customer's calls that wait use its share, a start in 2000 ms, the target in 1000 ms, a late start in 3000 ms, the caller leaves in 8000 ms"))
}
