package config

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/runworks/runworks"
	"github.com/runworks/runworks/modules/yamlfile"
)

const applyPoll = 100 * time.Millisecond

// BaseActive is, as the base of an apply, the version that the log has in force
// when the apply begins.
const BaseActive int64 = -1

// Apply checks a document, puts it on the log, based on a version, and waits
// until the log tells whether it was accepted. The error is yamlfile.ErrInvalid
// for mistakes, ErrBasedOnOlder if another document won, and ErrUnknownFate if
// the log told nothing until ctx ended.
func Apply(ctx context.Context, log runworks.LogService, base int64, cfg *runworks.Config) (Result, error) {
	if list := Check(cfg); len(list) > 0 {
		return Result{}, &yamlfile.Mistakes{File: "document", List: list}
	}
	var fold LogState
	if err := foldToHead(ctx, log, &fold); err != nil {
		return Result{}, errorx.Decorate(err, "nothing was applied")
	}
	if base == BaseActive {
		base = fold.Version
	}
	record := Record{Kind: RecordApply, ID: uuid.NewString(), Base: base, Config: cfg}
	data, err := record.Encode()
	if err != nil {
		return Result{}, err
	}
	_, appendErr := log.Append(ctx, data)
	return await(ctx, log, &fold, record.ID, appendErr)
}

// await reads the log until the record's id is decided. A lost answer of the
// append is no answer: only the log tells.
func await(ctx context.Context, log runworks.LogService, fold *LogState, id string, appendErr error) (Result, error) {
	for {
		_ = foldToHead(ctx, log, fold)
		if result, ok := fold.Results[id]; ok {
			return verdict(result)
		}
		select {
		case <-ctx.Done():
			return Result{}, errorx.Decorate(runworks.ErrOutcomeUnknown,
				"apply %s does not stand on the log up to offset %d (append: %v)", id, fold.Next, appendErr)
		case <-time.After(applyPoll):
		}
	}
}

func verdict(result Result) (Result, error) {
	if !result.Accepted {
		return result, errorx.Decorate(runworks.ErrStaleBase, "version %d is in force", result.Version)
	}
	return result, nil
}

// Latest reads the log and gives the version and the document in force.
func Latest(ctx context.Context, log runworks.LogService) (int64, *runworks.Config, error) {
	var fold LogState
	if err := foldToHead(ctx, log, &fold); err != nil {
		return 0, nil, err
	}
	return fold.Version, fold.Config, nil
}

// foldToHead folds all records up to the head of the log.
func foldToHead(ctx context.Context, log runworks.LogService, fold *LogState) error {
	if fold.Next == 0 {
		fold.Reset(0)
	}
	for {
		page, err := log.Read(ctx, fold.Next)
		if errors.Is(err, runworks.ErrTruncated) && page != nil {
			fold.Reset(page.First)
			continue
		}
		if err != nil {
			return err
		}
		for _, rec := range page.Records {
			fold.Add(rec)
		}
		if fold.Next >= page.Next {
			return basis(fold)
		}
	}
}

// basis refuses a log from which the version in force can't be told.
func basis(fold *LogState) error {
	if !fold.Synced() {
		return errorx.Decorate(runworks.ErrNotReady, "the log no longer tells which version is in force; try again")
	}
	return nil
}
