package route

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/runworks/runworks"
)

// TestTableScripts looks up routes and customers in a routing from the data file, and checks
// invalid routings.
func TestTableScripts(t *testing.T) {
	var routing *runworks.Routing
	datadriven.RunTest(t, "testdata/routes", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "routing":
			routing = readRouting(d.Input)
			if err := Check(routing); err != nil {
				return err.Error() + "\n"
			}
			return "good\n"
		case "call":
			var host, path, key string
			d.ScanArgs(t, "host", &host)
			d.ScanArgs(t, "path", &path)
			d.MaybeScanArgs(t, "key", &key)
			return find(NewTable(routing), host, path, key)
		}
		return "unknown command\n"
	})
}

// readRouting reads lines: service NAME; route NAME HOST PREFIX SERVICE [public]; customer NAME
// KEY.
func readRouting(text string) *runworks.Routing {
	r := &runworks.Routing{}
	for _, line := range strings.Split(text, "\n") {
		f := strings.Fields(line)
		switch f[0] {
		case "service":
			r.Services = append(r.Services, runworks.RoutedService{Name: f[1]})
		case "route":
			one := runworks.Route{Name: f[1], Host: f[2], PathPrefix: f[3], Public: len(f) > 5}
			if f[4] != "-" {
				one.Shares = []runworks.ServiceShare{{Service: f[4], Weight: 1}}
			}
			r.Routes = append(r.Routes, one)
		case "customer":
			r.Customers = append(r.Customers, runworks.RoutedCustomer{Name: f[1], KeySHA256: []string{runworks.HashKey(f[2])}})
		}
	}
	return r
}

func find(table *Table, host, path, key string) string {
	one, err := table.Route(host, path)
	if err != nil {
		return err.Error() + "\n"
	}
	customer, err := table.Customer(one, key)
	switch {
	case err != nil:
		return err.Error() + "\n"
	case customer == nil:
		return fmt.Sprintf("%s for anybody\n", one.Name)
	}
	return fmt.Sprintf("%s for %s\n", one.Name, customer.Name)
}

// TestShare checks that calls are divided by weight, the same at every front.
func TestPickService(t *testing.T) {
	is := is.New(t)
	r := &runworks.Route{Shares: []runworks.ServiceShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	n := map[string]int{}
	for i := range 10000 {
		id := runworks.RequestID(fmt.Sprint(i))
		n[PickService(r, id)]++
		is.Equal(PickService(r, id), PickService(r, id))
	}
	is.True(n["a"] > 8800 && n["a"] < 9200)
	is.Equal(n["c"], 0)
	is.Equal(PickService(&runworks.Route{}, "1"), "")
}
