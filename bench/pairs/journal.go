package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// tag matches the prefix of an entry's reason, which holds the comparison and the version.
var tag = regexp.MustCompile(`^pair ([\w.-]+) ([\w.-]+): `)

// entry holds the fields of a journal entry of the benchmark that are read.
type entry struct {
	Why    string `json:"why"`
	Site   string `json:"site"`
	Digest string `json:"digest"`
	Days   []struct {
		Worth  float64        `json:"G"`
		Name   string         `json:"name"`
		Seed   int64          `json:"seed"`
		Rules  map[string]any `json:"rules"`
		Fault  any            `json:"fault"`
		Parts  []amount       `json:"parts"`
		Prices []amount       `json:"prices"`
	} `json:"days"`
}

// amount is a part of a day's worth, or a price: its name, its size and its effect on the worth.
type amount struct {
	Name  string
	Size  float64
	Worth float64
}

// UnmarshalJSON implements json.Unmarshaler. The benchmark writes an array of three values.
func (a *amount) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, &[]any{&a.Name, &a.Size, &a.Worth})
}

// dayRun identifies a run of the benchmark by site, day and seed.
type dayRun struct {
	Site string
	Day  string
	Seed int64

	file string
}

// equal reports whether two runs have the same site, day and seed.
func (p dayRun) equal(other dayRun) bool {
	return p.Site == other.Site && p.Day == other.Day && p.Seed == other.Seed
}

// result is the outcome of a run with one version.
type result struct {
	dayRun
	Label string
	Worth float64
	// Broken reports whether a rule was broken or the day failed.
	Broken bool
	Parts  []amount
	Prices []amount
	Kinds  []kind
}

// kind holds the outcomes of the calls of one kind.
type kind struct {
	Name                                 string
	Asked, OnTime, Late, Refused, Failed float64
	// NotOwed counts calls that were not entitled to a response.
	NotOwed float64
}

// finished reports whether an entry is complete. The benchmark writes it at the start of a run
// and again at its end.
func finished(path string) bool {
	e, err := read(path)
	return err == nil && len(e.Days) > 0
}

func read(path string) (*entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	e := &entry{}
	if err := json.Unmarshal(data, e); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// load reads all results of the named comparison from the journal in dir.
func load(dir, name string) ([]result, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var out []result
	for _, file := range files {
		e, err := read(file)
		if err != nil {
			return nil, err
		}
		m := tag.FindStringSubmatch(e.Why)
		if m == nil || m[1] != name || len(e.Days) != 1 {
			continue
		}
		day := e.Days[0]
		out = append(out, result{
			dayRun: dayRun{Site: e.Site, Day: day.Name, Seed: day.Seed}, Label: m[2],
			Worth: day.Worth, Broken: len(day.Rules) > 0 || day.Fault != nil,
			Parts: day.Parts, Prices: day.Prices, Kinds: kinds(e.Digest),
		})
	}
	return out, nil
}

// kindFields is the number of columns read from the benchmark's table of kinds.
const kindFields = 7

// kinds reads the table of call kinds from the digest of a day.
func kinds(digest string) []kind {
	_, table, ok := strings.Cut(digest, "\nclass ")
	if !ok {
		return nil
	}
	table, _, _ = strings.Cut(table, "\n\n")
	var out []kind
	for _, line := range strings.Split(table, "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) < kindFields {
			continue
		}
		var v [kindFields]float64
		for i := 1; i < kindFields; i++ {
			v[i], _ = strconv.ParseFloat(fields[i], 64) // "-": no calls of this kind
		}
		out = append(out, kind{
			Name: fields[0], Asked: v[1], OnTime: v[2], Late: v[3], Refused: v[4], Failed: v[5], NotOwed: v[6],
		})
	}
	return out
}
