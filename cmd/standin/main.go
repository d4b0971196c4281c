// Command standin runs one simulated backend server or platform service as a separate process, for
// tests.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/runworks/runworks/modules/tcp"
	"github.com/runworks/runworks/standin"
)

func main() {
	app := kingpin.New("standin", "A simulated backend server or platform service.")
	listen := app.Flag("listen", "Address to listen on, host:port; port 0 selects a free port.").Default("127.0.0.1:0").String()
	addEngine(app, listen)
	addPlain(app, listen)
	addLog(app, listen)
	addHosts(app, listen)
	addStore(app, listen)
	addRouted(app, listen)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// activeListener is the listener of the process.
var activeListener net.Listener

// oddConns is the kind of the process's connections; empty for plain ones. idleTimeout is how long unused ones stay open.
var (
	oddConns    standin.OddKind
	idleTimeout time.Duration
)

// exit exits the process. It closes the listener first, so that no connection is accepted after an
// open one is closed: the kernel closes the sockets of a process in any order.
func exit() {
	_ = activeListener.Close()
	os.Exit(1)
}

// serve prints the address and serves until the process ends.
func serve(listen string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", listen)
	if err != nil {
		return err
	}
	activeListener = listener
	fmt.Println("listening on", listener.Addr())
	if oddConns != "" {
		listener = &standin.OddConns{Listener: listener, Kind: oddConns}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: idleTimeout, ConnContext: tcp.WithConn}
	return server.Serve(listener)
}

func addEngine(app *kingpin.Application, listen *string) {
	cmd := app.Command("engine", "A model engine.")
	e := &standin.Engine{}
	cmd.Flag("name", "Name in load reports.").Default("engine").StringVar(&e.Name)
	cmd.Flag("slots", "Concurrent requests.").Default("8").IntVar(&e.Slots)
	cmd.Flag("prefill", "Prompt tokens per second.").Default("8000").Float64Var(&e.PrefillPerSecond)
	cmd.Flag("decode", "Output tokens per second.").Default("100").Float64Var(&e.DecodePerSecond)
	cmd.Flag("cached-prompts", "Prompts kept in the prefix cache.").Default("0").IntVar(&e.CachedPrompts)
	cmd.Flag("report-lag", "Age of load reports.").Default("1s").DurationVar(&e.ReportLag)
	cmd.Flag("close-delimited", "Send completions without length or chunks.").BoolVar(&e.CloseDelimited)
	cmd.Action(func(*kingpin.ParseContext) error { return serve(*listen, e.Handler()) })
}

func addPlain(app *kingpin.Application, listen *string) {
	cmd := app.Command("plain", "A plain service.")
	p := &standin.PlainService{}
	cmd.Flag("delay", "How long a call takes.").Default("0s").DurationVar(&p.Delay)
	cmd.Action(func(*kingpin.ParseContext) error { return serve(*listen, p.Handler()) })
}

func addLog(app *kingpin.Application, listen *string) {
	cmd := app.Command("log", "The log service.")
	l := &standin.Log{}
	cmd.Flag("rate", "Appends per second.").Default("100").Float64Var(&l.AppendsPerSecond)
	cmd.Flag("retain", "How long records are kept; 0s keeps them forever.").Default("0s").DurationVar(&l.Retain)
	cmd.Action(func(*kingpin.ParseContext) error { return serve(*listen, l.Handler()) })
}

func addHosts(app *kingpin.Application, listen *string) {
	cmd := app.Command("hosts", "The host list.")
	h := &standin.Hosts{}
	cmd.Flag("lag", "Age of the list that readers receive.").Default("0s").DurationVar(&h.Lag)
	cmd.Action(func(*kingpin.ParseContext) error { return serve(*listen, h.Handler()) })
}

func addStore(app *kingpin.Application, listen *string) {
	cmd := app.Command("store", "The store of the users' platform.")
	s := &standin.Store{}
	cmd.Action(func(*kingpin.ParseContext) error { return serve(*listen, s.Handler()) })
}

func addRouted(app *kingpin.Application, listen *string) {
	cmd := app.Command("routed", "A backend server of the users' platform.")
	b := &standin.RoutedServer{}
	printCalls := cmd.Flag("tell", "Print a line for each call before it runs and for each stream that a stop holds, since the process may be killed.").Bool()
	cmd.Flag("instance", "Incarnation ID of the server.").Required().StringVar(&b.Instance)
	cmd.Flag("software", "Version of its software, in the events of calls that ask for it.").StringVar(&b.Version)
	cmd.Flag("delay", "How long a call runs, and the interval between events.").Default("0s").DurationVar(&b.Delay)
	cmd.Flag("step", "The interval between events that all streams share, in place of the delay; 0s for none.").Default("0s").DurationVar(&b.Step)
	cmd.Flag("any-instance", "Run calls for other instances, too, and name itself in each response.").BoolVar(&b.AnyInstance)
	cmd.Flag("nameless", "With --any-instance, name itself in the responses to status requests alone.").BoolVar(&b.Nameless)
	cmd.Flag("odd-conns", "How connections are odd: late, behind, hints, many_hints, twice, cut.").StringVar((*string)(&oddConns))
	cmd.Flag("idle-timeout", "How long unused connections stay open; 0s for ever.").Default("0s").DurationVar(&idleTimeout)
	oldProtocol := cmd.Flag("http10", "Respond in HTTP/1.0, with neither a length nor chunks.").Bool()
	exitOn := cmd.Flag("end-on", "Exit when a call with this text in its body starts to run.").String()
	exitOnPart := cmd.Flag("end-on-part", "Exit when a call whose prompt has a part with this ID, other than the last, starts to run.").String()
	cmd.Action(func(*kingpin.ParseContext) error {
		b.OnCall = func(c standin.RoutedCall) {
			if *printCalls {
				fmt.Printf("ran %s %s %s %q %x\n", c.ID, c.Method, c.Target, c.Customer, sha256.Sum256(c.Body))
			}
			if *exitOn != "" && bytes.Contains(c.Body, []byte(*exitOn)) || *exitOnPart != "" && c.SharesPart(*exitOnPart) {
				exit()
			}
		}
		b.OnStop = func(point standin.Point, target, id string) { fmt.Println("at", point, target, id) }
		handler := b.Handler()
		if *oldProtocol {
			handler = standin.OldProtocol(handler)
		}
		return serve(*listen, handler)
	})
}
