package settings

import (
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"
)

// Limits holds what the operators' tokens may ask for. The rates are for each control instance, and for each token or all
// tokens of the same tenants; the rest is for limited tokens and the same on all control instances.
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

// Highest and lowest values. maxRecordBytes leaves room for the names in the one frame with which a node gets all records.
const (
	maxRate        = 10_000
	minBurst       = 20 // a submission of 4 MiB counts as 17 and a query of the audit trail as 10
	maxLimit       = 1_000_000
	minBytes       = 4 << 20 // of one submission
	maxBytes       = 1 << 30
	maxRecordBytes = 12 << 20
)

// DefaultLimits returns the limits of settings that state none.
func DefaultLimits() Limits {
	return readLimits(&object{
		reader: &reader{},
	})
}

// readLimits fills in the defaults. 10,000 submissions in 24 h are seven times the 1,400 changes a day of all tenants, 16 MiB are
// room for 1.6 KB each, and three tenants with 3 MiB of records fit the 16 MiB of a frame.
func readLimits(top *object) Limits {
	o := &object{ // without keys
		reader: top.reader,
		path:   "limits",
	}
	if value, exists := top.take("limits"); exists {
		parsed, ok := top.reader.object(element{
			path:  top.key("limits"),
			line:  top.lineOf("limits"),
			value: value,
		})
		if !ok {
			return Limits{}
		}
		o = parsed
	}
	limits := Limits{
		SubmissionsPerSecond:  o.number("submissions-per-second", 1, maxRate, 20),
		SubmissionsBurst:      o.number("submissions-burst", minBurst, maxRate, 200),
		QueriesPerSecond:      o.number("queries-per-second", 1, maxRate, 100),
		QueriesBurst:          o.number("queries-burst", minBurst, maxRate, 500),
		TenantSubmissions:     o.number("tenant-submissions-per-day", 1, maxLimit, 10_000),
		TenantSubmissionBytes: o.number("tenant-submission-bytes-per-day", minBytes, maxBytes, 16<<20),
		TenantRecords:         o.number("tenant-records", 1, maxLimit, 5_000),
		TenantRecordBytes:     o.number("tenant-record-bytes", 1, maxRecordBytes, 3<<20),
		TenantDeletedNames:    o.number("tenant-deleted-names", 1, maxLimit, 50_000),
	}
	o.finish()
	return limits
}

// number reads an optional whole number.
func (o *object) number(name string, lowest, highest, otherwise int) int {
	value, exists := o.take(name)
	if !exists {
		return otherwise
	}
	text, isLiteral := value.Value.(hujson.Literal)
	number, err := strconv.Atoi(string(text))
	if !isLiteral || err != nil || number < lowest || number > highest {
		o.fault(name, fmt.Sprintf("a whole number from %d to %d", lowest, highest), o.reader.shown(value))
		return otherwise
	}
	return number
}
