package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/alecthomas/kingpin/v2"
)

// defaultJobs is the default number of concurrent runs: half of an eight-core machine.
const defaultJobs = 4

// errUsage reports a missing or invalid argument.
var errUsage = errors.New("wrong argument")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Stdout, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "pairs:", err)
		os.Exit(1)
	}
}

// run executes the command line.
func run(ctx context.Context, w io.Writer, args []string) error {
	app := kingpin.New("pairs", "Runs versions of the product on the same days of the benchmark and compares them.")
	app.Terminate(nil)
	p := &plan{Others: map[string]string{}}
	var seeds []string
	play := app.Command("play", "Run what is not in the journal yet.")
	play.Flag("bench", "Path of the benchmark program.").StringVar(&p.Bench)
	play.Flag("repo", "Repository of the product.").Default(".").StringVar(&p.Repo)
	play.Flag("journal", "Folder that collects the benchmark's entries.").Default("journal").StringVar(&p.Journal)
	play.Flag("name", "Name of the comparison.").StringVar(&p.Name)
	play.Flag("why", "Reason for the comparison, for the journal.").StringVar(&p.Why)
	play.Flag("base", "Revision to compare with.").Default("HEAD").StringVar(&p.Base)
	play.Flag("other", "LABEL=REVISION to compare; may be repeated.").StringMapVar(&p.Others)
	play.Flag("without", "A mutant of "+mutantList+" to apply to the base; may be repeated.").StringsVar(&p.Without)
	play.Flag("site", "A site file; may be repeated.").StringsVar(&p.Sites)
	play.Flag("day", "A day of the sites; may be repeated.").StringsVar(&p.Days)
	play.Flag("seed", "A seed; may be repeated.").StringsVar(&seeds)
	play.Flag("jobs", "Number of concurrent runs.").Default(fmt.Sprint(defaultJobs)).IntVar(&p.Jobs)

	r := &report{}
	table := app.Command("table", "Print the differences of a comparison, from the journal.")
	table.Flag("journal", "Folder of the benchmark's entries.").Default("journal").StringVar(&r.Journal)
	table.Flag("name", "Name of the comparison.").StringVar(&r.Name)
	table.Flag("against", "Label to compare with.").Default(baseLabel).StringVar(&r.Against)
	table.Flag("detail", "Also print days, kinds of call and prices.").BoolVar(&r.Detail)
	table.Flag("plot", "Draw the differences into this SVG file.").StringVar(&r.Picture)

	verb, err := app.Parse(args)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if verb == play.FullCommand() {
		if err := p.setSeeds(seeds); err != nil {
			return err
		}
		return p.play(ctx)
	}
	return r.print(w)
}
