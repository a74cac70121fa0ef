package spread

import (
	"context"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/platform"
)

// HistoryRecord is the audit record of one accepted change and a diff of the section's text.
type HistoryRecord struct {
	manifest.Record
	Diff string
}

// History returns the latest accepted changes, at most limit, newest first. If a read fails, it returns the records
// read so far and an *Error.
func (ac *ActiveConfig) History(ctx context.Context, limit int) ([]HistoryRecord, error) {
	newest, _, err := ac.readManifest(ctx)
	if err != nil {
		return nil, &Error{Op: "history", Kind: KindUnavailable, Err: err}
	}
	var records []HistoryRecord
	for revision := newest.Revision; revision > 0 && len(records) < limit; revision-- {
		record, err := ac.record(ctx, newest, revision)
		if err != nil {
			return records, &Error{Op: "history", Kind: KindUnavailable, Err: err}
		}
		records = append(records, record)
	}
	return records, nil
}

// Returns the record of a revision. The newest manifest's record may not be written yet, so it is made from the
// manifest itself. The record of an older manifest is written before its successor and is read from the store.
func (ac *ActiveConfig) record(ctx context.Context, newest manifest.Manifest, revision uint64) (HistoryRecord, error) {
	r := HistoryRecord{Record: newest.Record()}
	if revision != newest.Revision {
		entry, err := ac.Store.Get(ctx, manifest.AuditKey(revision))
		if err != nil {
			return HistoryRecord{}, err
		}
		if r.Record, err = manifest.ParseRecord(entry.Value); err != nil {
			return HistoryRecord{}, err
		}
	}
	before, err := ac.bodyIfStored(ctx, r.Change.Section, r.Change.Before)
	if err != nil {
		return HistoryRecord{}, err
	}
	after, err := ac.bodyIfStored(ctx, r.Change.Section, r.Change.After)
	if err != nil {
		return HistoryRecord{}, err
	}
	r.Diff = document.Diff(before, after)
	return r, nil
}

// Returns the body with the given digest, or nil if digest is empty or the store does not have the body.
func (ac *ActiveConfig) bodyIfStored(ctx context.Context, section document.Section, digest string) ([]byte, error) {
	if digest == "" {
		return nil, nil
	}
	text, err := ac.readBody(ctx, manifest.SectionVersion{Section: section, Digest: digest})
	if platform.KindOf(err) == platform.KindNotFound {
		return nil, nil
	}
	return text, err
}
