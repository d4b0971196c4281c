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

// defaultJobs is how many days are played at once: half of an eight-core machine.
const defaultJobs = 4

// errUsage says that an argument is missing or wrong.
var errUsage = errors.New("wrong argument")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, os.Stdout, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "pairs:", err)
		os.Exit(1)
	}
}

// run carries out the command line.
func run(ctx context.Context, w io.Writer, args []string) error {
	app := kingpin.New("pairs", "Plays versions of the product on the same days, and compares them.")
	app.Terminate(nil)
	p := &plan{Others: map[string]string{}}
	var seeds []string
	play := app.Command("play", "Play what is not in the journal yet.")
	play.Flag("bench", "Path of the bench's program.").StringVar(&p.Bench)
	play.Flag("repo", "The repository.").Default(".").StringVar(&p.Repo)
	play.Flag("journal", "Where the bench's entries are collected.").Default("journal").StringVar(&p.Journal)
	play.Flag("name", "Name of the comparison.").StringVar(&p.Name)
	play.Flag("why", "What is asked, for the journal.").StringVar(&p.Why)
	play.Flag("base", "The revision to compare with.").Default("HEAD").StringVar(&p.Base)
	play.Flag("other", "LABEL=REVISION to compare; may be repeated.").StringMapVar(&p.Others)
	play.Flag("without", "A mechanism of "+mutantList+" to take out of the base; may be repeated.").StringsVar(&p.Without)
	play.Flag("site", "A site file; may be repeated.").StringsVar(&p.Sites)
	play.Flag("day", "A day of the sites; may be repeated.").StringsVar(&p.Days)
	play.Flag("seed", "A seed; may be repeated.").StringsVar(&seeds)
	play.Flag("jobs", "Days played at once.").Default(fmt.Sprint(defaultJobs)).IntVar(&p.Jobs)

	r := &report{}
	table := app.Command("table", "Print the differences of a comparison, from the journal.")
	table.Flag("journal", "Where the bench's entries lie.").Default("journal").StringVar(&r.Journal)
	table.Flag("name", "Name of the comparison.").StringVar(&r.Name)
	table.Flag("against", "The label to compare with.").Default(baseLabel).StringVar(&r.Against)
	table.Flag("detail", "Print days, kinds of call and prices too.").BoolVar(&r.Detail)
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
