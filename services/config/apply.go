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

const applyPollInterval = 100 * time.Millisecond

// BaseActive is a base for Apply: the version that is active when Apply starts.
const BaseActive int64 = -1

// Apply checks a document, appends it to the log as a change of the base version, and waits
// until the log shows whether it was accepted. It returns yamlfile.ErrInvalid for an invalid
// document, ErrStaleBase if another document was accepted first, and ErrOutcomeUnknown if the
// log did not show the result before ctx ended.
func Apply(ctx context.Context, log runworks.LogService, base int64, cfg *runworks.Config) (Result, error) {
	if list := Check(cfg); len(list) > 0 {
		return Result{}, &yamlfile.Mistakes{File: "document", List: list}
	}
	var state LogState
	if err := readToHead(ctx, log, &state); err != nil {
		return Result{}, errorx.Decorate(err, "configuration not applied")
	}
	if base == BaseActive {
		base = state.Version
	}
	record := Record{Kind: RecordApply, ID: uuid.NewString(), Base: base, Config: cfg}
	data, err := record.Encode()
	if err != nil {
		return Result{}, err
	}
	_, appendErr := log.Append(ctx, data)
	return awaitResult(ctx, log, &state, record.ID, appendErr)
}

// awaitResult reads the log until it shows the result for the record ID. An append that failed
// may still have been written, so its error is not the result.
func awaitResult(ctx context.Context, log runworks.LogService, state *LogState, id string, appendErr error) (Result, error) {
	for {
		_ = readToHead(ctx, log, state)
		if result, ok := state.Results[id]; ok {
			return checkResult(result)
		}
		select {
		case <-ctx.Done():
			return Result{}, errorx.Decorate(runworks.ErrOutcomeUnknown,
				"apply %s was not found on the log up to offset %d (append: %v)", id, state.Next, appendErr)
		case <-time.After(applyPollInterval):
		}
	}
}

func checkResult(result Result) (Result, error) {
	if !result.Accepted {
		return result, errorx.Decorate(runworks.ErrStaleBase, "version %d is active", result.Version)
	}
	return result, nil
}

// Latest reads the log and returns the active version and document.
func Latest(ctx context.Context, log runworks.LogService) (int64, *runworks.Config, error) {
	var state LogState
	if err := readToHead(ctx, log, &state); err != nil {
		return 0, nil, err
	}
	return state.Version, state.Config, nil
}

// readToHead adds all records up to the head of the log.
func readToHead(ctx context.Context, log runworks.LogService, state *LogState) error {
	if state.Next == 0 {
		state.Reset(0)
	}
	for {
		page, err := log.Read(ctx, state.Next)
		if errors.Is(err, runworks.ErrTruncated) && page != nil {
			state.Reset(page.First)
			continue
		}
		if err != nil {
			return err
		}
		for _, rec := range page.Records {
			state.Add(rec)
		}
		if state.Next >= page.Next {
			return requireSynced(state)
		}
	}
}

// requireSynced returns ErrNotReady if the active version can't be determined from the log.
func requireSynced(state *LogState) error {
	if !state.Synced() {
		return errorx.Decorate(runworks.ErrNotReady, "the active version can't be determined from the log; try again")
	}
	return nil
}
