package configuration

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// AuditRecord tells of one accepted change. Changes that were not accepted
// have no record.
type AuditRecord struct {
	Revision cicadapitch.Revision
	Change   cicadapitch.ChangeID
	Operator cicadapitch.OperatorID
	At       cicadapitch.Instant
	Summary  string
	// Fields are the fields before and after, at most maxAuditFields of them.
	Fields []FieldChange
	// Omitted counts further fields.
	Omitted int
	Result  Result
}

const (
	maxAuditFields = 200
	maxAuditValue  = 512
)

func newAuditRecord(c Change, before, after *cicadapitch.Configuration) AuditRecord {
	fields := Diff(before, after)
	omitted := max(0, len(fields)-maxAuditFields)
	fields = fields[:len(fields)-omitted]
	for i := range fields {
		fields[i].Before = shorten(fields[i].Before)
		fields[i].After = shorten(fields[i].After)
	}
	return AuditRecord{
		Revision: after.Revision,
		Change:   c.ID,
		Operator: c.Operator,
		At:       c.At,
		Summary:  shorten(c.Summary),
		Fields:   fields,
		Omitted:  omitted,
		Result:   Applied,
	}
}

func shorten(s string) string {
	if len(s) <= maxAuditValue {
		return s
	}
	return s[:maxAuditValue] + "…"
}

// ReadAudit returns up to n records, the newest first, beginning with revision
// from. It makes one read of the store for each hundred revisions.
func ReadAudit(ctx context.Context, store cicadapitch.Store, from cicadapitch.Revision, n int) ([]AuditRecord, error) {
	var list []AuditRecord
	for r := from; r > 0 && len(list) < n; r = r/auditBucket*auditBucket - 1 {
		pairs, _, err := store.List(ctx, auditBucketPrefix(r))
		if err != nil {
			return list, err
		}
		if len(pairs) == 0 && len(list) > 0 {
			break
		}
		for _, p := range slices.Backward(pairs) {
			var record AuditRecord
			if err := unmarshal(p.Value, &record); err != nil {
				return list, err
			}
			if record.Revision <= r && len(list) < n {
				list = append(list, record)
			}
		}
	}
	return list, nil
}
