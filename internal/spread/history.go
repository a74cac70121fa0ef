package spread

import (
	"context"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/platform"
)

// Record is the audit record of one accepted change with the change to the section's text.
type Record struct {
	manifest.Record
	Diff string
}

// History returns the latest accepted changes, at most limit, the newest first, or an *Error with those it could read.
func (k *Keeper) History(ctx context.Context, limit int) ([]Record, error) {
	newest, _, err := k.readManifest(ctx)
	if err != nil {
		return nil, &Error{Op: "history", Kind: KindUnavailable, Err: err}
	}
	var records []Record
	for revision := newest.Revision; revision > 0 && len(records) < limit; revision-- {
		record, err := k.record(ctx, newest, revision)
		if err != nil {
			return records, &Error{Op: "history", Kind: KindUnavailable, Err: err}
		}
		records = append(records, record)
	}
	return records, nil
}

// The record of the newest manifest may not be written yet; that of an older one is written before its successor.
func (k *Keeper) record(ctx context.Context, newest manifest.Manifest, revision uint64) (Record, error) {
	r := Record{Record: newest.Record()}
	if revision != newest.Revision {
		entry, err := k.Store.Get(ctx, manifest.AuditKey(revision))
		if err != nil {
			return Record{}, err
		}
		if r.Record, err = manifest.ParseRecord(entry.Value); err != nil {
			return Record{}, err
		}
	}
	before, err := k.oldBody(ctx, r.Change.Section, r.Change.Before)
	if err != nil {
		return Record{}, err
	}
	after, err := k.oldBody(ctx, r.Change.Section, r.Change.After)
	if err != nil {
		return Record{}, err
	}
	r.Diff = document.Diff(before, after)
	return r, nil
}

func (k *Keeper) oldBody(ctx context.Context, section document.Section, digest string) ([]byte, error) {
	if digest == "" {
		return nil, nil
	}
	text, err := k.body(ctx, manifest.SectionVersion{Section: section, Digest: digest})
	if platform.KindOf(err) == platform.KindNotFound {
		return nil, nil
	}
	return text, err
}
