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

// tag is how an entry tells of which comparison and version it is.
var tag = regexp.MustCompile(`^pair ([\w.-]+) ([\w.-]+): `)

// entry is what is read of an entry of the bench's journal.
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

// amount is a part of a day's worth, or a price: its name, its size and what it makes.
type amount struct {
	Name  string
	Size  float64
	Worth float64
}

// UnmarshalJSON implements json.Unmarshaler: the bench writes a list of three.
func (a *amount) UnmarshalJSON(data []byte) error {
	return json.Unmarshal(data, &[]any{&a.Name, &a.Size, &a.Worth})
}

// place is a day of a site with its seed.
type place struct {
	Site string
	Day  string
	Seed int64

	file string
}

// same says whether two places are one.
func (p place) same(other place) bool {
	return p.Site == other.Site && p.Day == other.Day && p.Seed == other.Seed
}

// result is a day that was played with one version.
type result struct {
	place
	Label string
	Worth float64
	// Broken is whether a rule was broken or the day failed.
	Broken bool
	Parts  []amount
	Prices []amount
	Kinds  []kind
}

// kind is how the calls of one kind ended.
type kind struct {
	Name                                 string
	Asked, OnTime, Late, Refused, Failed float64
	// NotOwed are the calls that nothing was owed for.
	NotOwed float64
}

// finished says whether an entry is whole: the bench writes it when a play begins, and
// again at its end.
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

// load reads all results of one comparison.
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
			place: place{Site: e.Site, Day: day.Name, Seed: day.Seed}, Label: m[2],
			Worth: day.Worth, Broken: len(day.Rules) > 0 || day.Fault != nil,
			Parts: day.Parts, Prices: day.Prices, Kinds: kinds(e.Digest),
		})
	}
	return out, nil
}

// kindFields are the columns of the bench's table of kinds that are read.
const kindFields = 7

// kinds reads the table of the kinds of calls from a day's text.
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
			v[i], _ = strconv.ParseFloat(fields[i], 64) // "-" is none asked
		}
		out = append(out, kind{
			Name: fields[0], Asked: v[1], OnTime: v[2], Late: v[3], Refused: v[4], Failed: v[5], NotOwed: v[6],
		})
	}
	return out
}
