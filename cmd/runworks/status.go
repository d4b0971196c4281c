package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks/daemon"
	"github.com/runworks/runworks/services/entry"
	"github.com/runworks/runworks/services/rollout"
)

const (
	statusTimeout = 5 * time.Second
	// maxStatusBytes limits a status: many times that of the largest deployment.
	maxStatusBytes = 64 << 20
)

// addStatus adds the command that prints the status of an entry.
func addStatus(app *kingpin.Application) {
	cmd := app.Command("status", "Show the active configuration and the load, as seen by an entry.\n\nExample: runworks status --operators http://10.0.0.1:9080")
	address := cmd.Flag("operators", "The operators' base URL of an entry.").Envar("RUNWORKS_OPERATORS").Required().String()
	output := cmd.Flag("output", "text or json.").Short('o').Default("text").Enum("text", "json")
	cmd.Action(func(*kingpin.ParseContext) error {
		data, err := fetchStatus(*address)
		if err != nil {
			return err
		}
		if *output == "json" {
			_, err := os.Stdout.Write(data)
			return err
		}
		return printAny(os.Stdout, data)
	})
}

// fetchStatus returns the JSON of the status of an entry or a front.
func fetchStatus(address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/status", nil)
	if err != nil {
		return nil, errorx.Decorate(err, "build the status request")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errorx.Decorate(err, "request the status of the entry")
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxStatusBytes))
	if err != nil {
		return nil, errorx.Decorate(err, "read the status of the entry")
	}
	return data, nil
}

// printAny prints the status of a front, which counts fronts, or of an entry.
func printAny(out io.Writer, data []byte) error {
	var front daemon.FrontStatus
	if err := json.Unmarshal(data, &front); err == nil && front.Fronts > 0 {
		return printFront(out, &front)
	}
	var status entry.Status
	if err := json.Unmarshal(data, &status); err != nil {
		return errorx.Decorate(err, "decode the status of the entry")
	}
	return printStatus(out, &status)
}

// printFront prints the status of a front.
func printFront(out io.Writer, s *daemon.FrontStatus) error {
	_, _ = fmt.Fprintf(out, "front: configuration %d, hears %d of %d fronts, %d refuse its fleet key\n", s.RoutingVersion, s.Fronts, s.FrontsKnown, s.FrontsKeyRefused)
	_, err := fmt.Fprintf(out, "%d backend servers, waiting calls %v\n", len(s.Servers), s.Waiting)
	if err != nil || len(s.Rollouts) == 0 {
		return err
	}
	return printRollouts(out, s.Rollouts)
}

// printRollouts prints the orders to roll out a version. Figures are over all fronts, as last reported.
func printRollouts(out io.Writer, list []rollout.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nROLL-OUT\tVERSION\tSTATE\tSTEP\tDEADLINE\tCALLS\tEXPOSED\tANSWERS\tFAILED\tINTERRUPTED\tSLOW\tDOUBT\tFRONTS HEARD\tEVIDENCE AGE\tSTATUS AGE\tREASON")
	for i := range list {
		r := &list[i]
		deadline := ""
		if !r.Deadline.IsZero() {
			deadline = r.Deadline.Format(time.TimeOnly)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d of %d\t%d ms\t%d ms\t%s\n", r.Service, r.TargetVersion, r.State, r.Step, deadline, r.Arrived, r.Exposed,
			r.Answers.Ended, r.Answers.Failed, r.Answers.Cut, r.Slow, r.Doubt, r.Heard, r.Reports, r.OldestReportMs, r.StatusAgeMs, r.Reason)
	}
	return w.Flush()
}

func printStatus(out io.Writer, s *entry.Status) error {
	_, _ = fmt.Fprintf(out, "entry %s: configuration %d, %d requests, stopping %t\n\n", s.Name, s.Version, s.Requests, s.Stopping)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TIER\tWAITING\tRUNNING")
	for _, name := range slices.Sorted(maps.Keys(s.Tiers)) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", name, s.Tiers[name].Waiting, s.Tiers[name].Running)
	}
	_ = w.Flush()
	_, _ = fmt.Fprintln(out, "\nSlots, running and waiting are as each agent last reported, up to some seconds ago.")
	_, _ = fmt.Fprintln(w, "HOST\tBACKEND SERVER\tCONNECTED\tLEAVING\tCONFIGURATION\tSLOTS\tRUNNING\tWAITING")
	for _, a := range s.Agents {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\t%d\t%d\t%d\n", a.Host, a.Server, a.Connected, a.Draining, a.Version, a.Slots, a.Running, a.Waiting)
	}
	return w.Flush()
}
