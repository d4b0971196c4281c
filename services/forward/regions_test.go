package forward

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestAllowedRegions checks which halls may run a call whose route or customer is bound to regions:
// where both are, both bind, and a hall of unknown region runs no such call.
func TestAllowedRegions(t *testing.T) {
	f := &Forwarder{Regions: map[string]string{"n-1": "north", "s-1": "south"}}
	for _, one := range []struct {
		route, customer     []string
		north, south, other bool
	}{
		{nil, nil, true, true, true},
		{[]string{"north"}, nil, true, false, false},
		{nil, []string{"south"}, false, true, false},
		{[]string{"north", "south"}, []string{"south"}, false, true, false},
		{[]string{"north"}, []string{"south"}, false, false, false},
		{[]string{"nowhere"}, nil, false, false, false},
	} {
		is := is.New(t)
		c := &call{f: f, route: &runworks.Route{Regions: one.route}, customer: &runworks.RoutedCustomer{Regions: one.customer}}
		allows := c.allowsHall()
		if allows == nil {
			allows = func(string) bool { return true }
		}
		is.Equal([]bool{allows("n-1"), allows("s-1"), allows("elsewhere")}, []bool{one.north, one.south, one.other})
	}
}

// TestCallStaysInRegions checks that a call that is bound to a region goes to no server elsewhere,
// and is answered as not run where its region has none.
func TestCallStaysInRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &sender{replies: []reply{{status: 503, notRun: true}, good}}
		f := newForwarder(t, s, io.Discard)
		f.Budgets = &Budgets{Slack: 10}
		f.Regions = map[string]string{"n-1": "north", "s-1": "south"}
		list := threeServers("i")
		for i, hall := range []string{"n-1", "s-1", "n-1"} {
			list[i].Hall = hall
		}
		f.Dispatcher.SetServers(list)
		routes := f.Table.Load().Routing.Routes
		for i := range routes {
			routes[i].Regions = []string{"north"}
		}
		_, _, err := serve(context.Background(), f, "once")
		is.NoErr(err)
		is.Equal(len(s.sends), 2) // the second after the first one's rejection
		for _, send := range s.sends {
			is.Equal(send.To.Hall, "n-1")
		}
		f.Dispatcher.SetServers(list[1:2])
		_, _, err = serve(context.Background(), f, "once")
		is.True(errors.Is(err, runworks.ErrNoServer))
		is.Equal(failureOf(is, err).Outcome, runworks.OutcomeNotRun)
		is.Equal(len(s.sends), 2)
	})
}
