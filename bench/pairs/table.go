package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the confidence level of the intervals.
const confidence = 0.95

// errNoPairs reports a journal without a pair to compare.
var errNoPairs = errors.New("the journal holds no pairs")

// pair holds the results of one run with the base and with another version.
type pair struct{ base, other result }

// spread is the mean of N differences with the half width of its confidence interval.
type spread struct {
	N          int
	Mean, Half float64
}

// InsideNoise reports whether the interval includes 0, or cannot be computed.
func (s spread) InsideNoise() bool { return s.N < 2 || math.Abs(s.Mean) <= s.Half }

// String implements fmt.Stringer.
func (s spread) String() string {
	text := fmt.Sprintf("%+.4f", s.Mean)
	if s.N > 1 {
		text += fmt.Sprintf(" ± %.4f", s.Half)
	}
	if s.InsideNoise() {
		text += " (inside the noise)"
	}
	return text
}

// spreadOf returns the mean and the half width of Student's t interval.
func spreadOf(differences []float64) spread {
	n := len(differences)
	if n < 2 {
		return spread{N: n, Mean: stat.Mean(differences, nil)}
	}
	mean, dev := stat.MeanStdDev(differences, nil)
	t := distuv.StudentsT{Sigma: 1, Nu: float64(n - 1)}
	return spread{N: n, Mean: mean, Half: t.Quantile((1+confidence)/2) * stat.StdErr(dev, float64(n))}
}

// report holds the arguments of the table command.
type report struct {
	Journal, Name string
	// Against is the label of the version that the others are compared with.
	Against string
	// Detail also prints days, kinds of call and prices.
	Detail bool
	// Picture is the file for the plot; empty for none.
	Picture string
}

// pairsOf returns the pairs of each version with the version labeled against, and the labels
// of the versions in order.
func pairsOf(results []result, against string) (labels []string, pairs map[string][]pair) {
	pairs = make(map[string][]pair)
	for _, other := range results {
		if other.Label == against {
			continue
		}
		i := slices.IndexFunc(results, func(r result) bool { return r.Label == against && r.equal(other.dayRun) })
		if i >= 0 {
			pairs[other.Label] = append(pairs[other.Label], pair{base: results[i], other: other})
		}
	}
	for label := range pairs {
		labels = append(labels, label)
	}
	slices.Sort(labels)
	return labels, pairs
}

// print writes the comparison to w, and the plot if a file is set.
func (r *report) print(w io.Writer) error {
	if r.Name == "" {
		return fmt.Errorf("%w: --name needs the comparison's name", errUsage)
	}
	results, err := load(r.Journal, r.Name)
	if err != nil {
		return err
	}
	labels, pairs := pairsOf(results, r.Against)
	if len(labels) == 0 {
		return fmt.Errorf("%w named %s with %s in %s", errNoPairs, r.Name, r.Against, r.Journal)
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, label := range labels {
		r.printVersion(out, label, pairs[label])
	}
	if err := out.Flush(); err != nil {
		return err
	}
	if r.Picture == "" {
		return nil
	}
	return draw(r.Picture, r.Name, labels, pairs)
}

// printVersion prints the differences of one version.
func (r *report) printVersion(w io.Writer, label string, list []pair) {
	fmt.Fprintf(w, "%s: %d pairs, worth %.4f to %.4f, %v\n", label, len(list),
		meanOf(list, func(p pair) float64 { return p.base.Worth }), meanOf(list, func(p pair) float64 { return p.other.Worth }),
		spreadOf(differences(list, worthOf)))
	printBroken(w, list)
	printGroups(w, list, func(p pair) string { return p.base.Site })
	if !r.Detail {
		return
	}
	printGroups(w, list, func(p pair) string { return p.base.Site + " " + p.base.Day })
	printAmounts(w, list, "part", func(r result) []amount { return r.Parts }, func(a amount) float64 { return a.Worth })
	printAmounts(w, list, "price", func(r result) []amount { return r.Prices }, func(a amount) float64 { return -a.Worth })
	printShares(w, list)
}

func worthOf(r result) float64 { return r.Worth }

func meanOf(list []pair, of func(pair) float64) float64 {
	sum := 0.0
	for _, p := range list {
		sum += of(p)
	}
	return sum / float64(len(list))
}

func differences(list []pair, of func(result) float64) []float64 {
	out := make([]float64, 0, len(list))
	for _, p := range list {
		out = append(out, of(p.other)-of(p.base))
	}
	return out
}

// printBroken prints the runs in which a rule was broken.
func printBroken(w io.Writer, list []pair) {
	for _, p := range list {
		for _, r := range []result{p.base, p.other} {
			if r.Broken {
				fmt.Fprintf(w, "  BROKEN: %s %s %s %d\n", r.Label, r.Site, r.Day, r.Seed)
			}
		}
	}
}

// printGroups prints the differences of worth for each group of pairs.
func printGroups(w io.Writer, list []pair, by func(pair) string) {
	groups := map[string][]pair{}
	var names []string
	for _, p := range list {
		if groups[by(p)] == nil {
			names = append(names, by(p))
		}
		groups[by(p)] = append(groups[by(p)], p)
	}
	slices.Sort(names)
	for _, name := range names {
		members := groups[name]
		fmt.Fprintf(w, "  %s\t%.4f\t%.4f\t%v\n", name, meanOf(members, func(p pair) float64 { return p.base.Worth }),
			meanOf(members, func(p pair) float64 { return p.other.Worth }), spreadOf(differences(members, worthOf)))
	}
}

// minDifference is the mean difference below which a part or price is not printed.
const minDifference = 0.0005

// printAmounts prints the differences of the parts or prices that changed.
func printAmounts(w io.Writer, list []pair, what string, of func(result) []amount, value func(amount) float64) {
	for _, named := range of(list[0].base) {
		get := func(r result) float64 {
			i := slices.IndexFunc(of(r), func(a amount) bool { return a.Name == named.Name })
			if i < 0 {
				return 0
			}
			return value(of(r)[i])
		}
		if d := spreadOf(differences(list, get)); math.Abs(d.Mean) >= minDifference {
			fmt.Fprintf(w, "  %s %s\t%.4f\t%.4f\t%v\n", what, named.Name, meanOf(list, func(p pair) float64 { return get(p.base) }),
				meanOf(list, func(p pair) float64 { return get(p.other) }), d)
		}
	}
}

// printShares prints the fractions of the calls of each kind that were on time, late, refused
// and failed, of the calls entitled to a response.
func printShares(w io.Writer, list []pair) {
	sums := map[string]*[2]kind{}
	var names []string
	for _, p := range list {
		for i, r := range []result{p.base, p.other} {
			for _, k := range r.Kinds {
				name := r.Site + " " + k.Name
				if sums[name] == nil {
					sums[name] = &[2]kind{}
					names = append(names, name)
				}
				sums[name][i].add(k)
			}
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(w, "  %s\t%s\t%s\n", name, sums[name][0].shares(), sums[name][1].shares())
	}
}

func (k *kind) add(other kind) {
	k.Asked += other.Asked
	k.OnTime += other.OnTime
	k.Late += other.Late
	k.Refused += other.Refused
	k.Failed += other.Failed
	k.NotOwed += other.NotOwed
}

func (k *kind) shares() string {
	owed := k.Asked - k.NotOwed
	if owed <= 0 {
		return "none owed"
	}
	return fmt.Sprintf("on time %.3f, late %.3f, refused %.3f, failed %.3f", k.OnTime/owed, k.Late/owed, k.Refused/owed, k.Failed/owed)
}
