package route

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestMovedServices guards against a change of routes that shares streams out between services and is not known as such.
func TestMovedServices(t *testing.T) {
	long := func(prefix string, shares ...runworks.ServiceShare) runworks.Route {
		return runworks.Route{Host: "h", PathPrefix: prefix, Kind: runworks.CallStream, Resumable: true, Shares: shares}
	}
	share := func(service string, weight int) runworks.ServiceShare {
		return runworks.ServiceShare{Service: service, Weight: weight}
	}
	once := func(r runworks.Route) runworks.Route {
		r.Resumable = false
		return r
	}
	slower := func(r runworks.Route) runworks.Route {
		r.Timeout++
		return r
	}
	a, b := share("a", 1), share("b", 1)
	for _, c := range []struct {
		name     string
		old, new []runworks.Route
		want     []string
	}{
		{"nothing", []runworks.Route{long("/x/", a)}, []runworks.Route{long("/x/", a)}, nil},
		{"another timeout", []runworks.Route{long("/x/", a)}, []runworks.Route{slower(long("/x/", a))}, nil},
		{"another service", []runworks.Route{long("/x/", a)}, []runworks.Route{long("/x/", b)}, nil},
		{"one service more", []runworks.Route{long("/x/", a)}, []runworks.Route{long("/x/", a, b)}, []string{"a", "b"}},
		{"one service less", []runworks.Route{long("/x/", a, b)}, []runworks.Route{long("/x/", a)}, nil},
		{"another share", []runworks.Route{long("/x/", a, b)}, []runworks.Route{long("/x/", a, share("b", 2))}, []string{"a", "b"}},
		{"a longer prefix", []runworks.Route{long("/x/", a)}, []runworks.Route{long("/x/", a), long("/x/y/", b, a)}, []string{"b", "a"}},
		{"no longer prefix", []runworks.Route{long("/x/", a, b), long("/x/y/", b)}, []runworks.Route{long("/x/", a, b)}, []string{"a", "b"}},
		{"no longer resumable", []runworks.Route{long("/x/", a)}, []runworks.Route{once(long("/x/", a, b))}, []string{"a", "b"}},
		{"not resumable", []runworks.Route{once(long("/x/", a))}, []runworks.Route{once(long("/x/", a, b))}, nil},
		{"a new route", []runworks.Route{long("/x/", a)}, []runworks.Route{long("/x/", a), long("/y/", b)}, nil},
		{"a removed route", []runworks.Route{long("/x/", a), long("/y/", b)}, []runworks.Route{long("/x/", a)}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := MovedServices(NewTable(&runworks.Routing{Routes: c.old}), NewTable(&runworks.Routing{Routes: c.new}))
			slices.Sort(got)
			want := slices.Clone(c.want)
			slices.Sort(want)
			is.Equal(got, want)
		})
	}
	is.New(t).Equal(MovedServices(nil, NewTable(&runworks.Routing{Routes: []runworks.Route{long("/x/", a)}})), nil)
}
