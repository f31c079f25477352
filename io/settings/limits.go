package settings

import (
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"
)

// Limits holds the limits of operators' tokens. The rates apply at each control instance, to each token or to all tokens of the same
// tenants together; the others apply to limited tokens and are the same at all control instances.
type Limits struct {
	SubmissionsPerSecond  int
	SubmissionsBurst      int
	QueriesPerSecond      int
	QueriesBurst          int
	TenantSubmissions     int // in 24 h
	TenantSubmissionBytes int // in 24 h
	TenantRecords         int
	TenantRecordBytes     int
	TenantDeletedNames    int
}

// Lowest and highest values of limits. maxRecordBytes leaves room for the names in the single frame with which a node receives all
// records.
const (
	maxRate            = 10_000
	minBurst           = 20 // a submission of 4 MiB costs as much as 17 requests, and a query of the audit trail as much as 10
	maxCount           = 1_000_000
	minSubmissionBytes = 4 << 20 // the longest submission, which a lower limit would never admit
	maxSubmissionBytes = 1 << 30
	maxRecordBytes     = 12 << 20
)

// DefaultLimits returns the limits that apply if the settings name none.
func DefaultLimits() Limits {
	return readLimits(&object{
		reader: &reader{},
	})
}

// readLimits reads the optional limits. The defaults: 10,000 submissions in 24 h are seven times the 1,400 changes a day of all
// tenants, 16 MiB are room for 1.6 KB each, and three tenants with 3 MiB of records fit into the 16 MiB of a frame.
func readLimits(top *object) Limits {
	o := &object{ // without keys, so that all limits get their defaults
		reader: top.reader,
		path:   "limits",
	}
	if value, exists := top.take("limits"); exists {
		parsed, ok := top.reader.object(element{
			path:  top.keyPath("limits"),
			line:  top.lineOf("limits"),
			value: value,
		})
		if !ok {
			return Limits{}
		}
		o = parsed
	}
	limits := Limits{
		SubmissionsPerSecond:  o.integer("submissions-per-second", 1, maxRate, 20),
		SubmissionsBurst:      o.integer("submissions-burst", minBurst, maxRate, 200),
		QueriesPerSecond:      o.integer("queries-per-second", 1, maxRate, 100),
		QueriesBurst:          o.integer("queries-burst", minBurst, maxRate, 500),
		TenantSubmissions:     o.integer("tenant-submissions-per-day", 1, maxCount, 10_000),
		TenantSubmissionBytes: o.integer("tenant-submission-bytes-per-day", minSubmissionBytes, maxSubmissionBytes, 16<<20),
		TenantRecords:         o.integer("tenant-records", 1, maxCount, 5_000),
		TenantRecordBytes:     o.integer("tenant-record-bytes", 1, maxRecordBytes, 3<<20),
		TenantDeletedNames:    o.integer("tenant-deleted-names", 1, maxCount, 50_000),
	}
	o.rejectUnknownKeys()
	return limits
}

// integer reads an optional integer.
func (o *object) integer(name string, lowest, highest, defaultValue int) int {
	value, exists := o.take(name)
	if !exists {
		return defaultValue
	}
	text, isLiteral := value.Value.(hujson.Literal)
	number, err := strconv.Atoi(string(text))
	if !isLiteral || err != nil || number < lowest || number > highest {
		o.fault(name, fmt.Sprintf("a whole number from %d to %d", lowest, highest), o.reader.describeValue(value))
		return defaultValue
	}
	return number
}
