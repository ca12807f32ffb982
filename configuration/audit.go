package configuration

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// AuditRecord describes one accepted change. Rejected changes have no record.
type AuditRecord struct {
	Revision cicadapitch.Revision
	Change   cicadapitch.ChangeID
	Operator cicadapitch.OperatorID
	// At is Change.At, usually the time at which the order reached a host.
	At cicadapitch.Instant
	// Summary describes the change, cut to maxAuditValueBytes.
	Summary string
	// Fields are the changed fields, at most maxAuditFields.
	Fields []FieldChange
	// Omitted is the number of changed fields that are not in Fields.
	Omitted int
	// Result is always Applied.
	Result Result
}

const (
	maxAuditFields = 200
	// maxAuditValueBytes is the length in bytes to which Summary, Before and
	// After are cut. An ellipsis marks the cut.
	maxAuditValueBytes = 512
)

func newAuditRecord(c Change, before, after *cicadapitch.Configuration) AuditRecord {
	fields := Diff(before, after)
	omitted := max(0, len(fields)-maxAuditFields)
	fields = fields[:len(fields)-omitted]
	for i := range fields {
		fields[i].Before = truncate(fields[i].Before)
		fields[i].After = truncate(fields[i].After)
	}
	return AuditRecord{
		Revision: after.Revision,
		Change:   c.ID,
		Operator: c.Operator,
		At:       c.At,
		Summary:  truncate(c.Summary),
		Fields:   fields,
		Omitted:  omitted,
		Result:   Applied,
	}
}

// truncate cuts s to maxAuditValueBytes and marks the cut with an ellipsis.
func truncate(s string) string {
	if len(s) <= maxAuditValueBytes {
		return s
	}
	return s[:maxAuditValueBytes] + "…"
}

// ReadAudit returns up to n audit records in descending order of their
// revisions, starting at revision from. It lists the store once for each bucket
// of 100 revisions. On an error it also returns the records read so far.
func ReadAudit(ctx context.Context, store cicadapitch.Store, from cicadapitch.Revision, n int) ([]AuditRecord, error) {
	var records []AuditRecord
	for r := from; r > 0 && len(records) < n; r = r/auditBucketSize*auditBucketSize - 1 {
		pairs, _, err := store.List(ctx, auditBucketPrefix(r))
		if err != nil {
			return records, err
		}
		if len(pairs) == 0 && len(records) > 0 {
			break
		}
		for _, p := range slices.Backward(pairs) {
			var record AuditRecord
			if err := unmarshal(p.Value, &record); err != nil {
				return records, err
			}
			if record.Revision <= r && len(records) < n {
				records = append(records, record)
			}
		}
	}
	return records, nil
}
