package journal

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxRecordBytes is the maximum size of a record that the log service accepts.
const MaxRecordBytes = 1 << 20

// ErrUnavailable is returned when the log service did not respond as expected, so that the effect
// of the call is unknown.
var ErrUnavailable = errors.New("log service unavailable")

// ErrNewerFormat is returned for a record written by a newer version of the software.
var ErrNewerFormat = errors.New("record is of a newer format")

// A Record is one entry of a stream with the offset that the log service assigned.
type Record struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// A Batch is the result of one read: records in offset order, the earliest offset that retention
// has kept, and the offset to read next.
type Batch struct {
	Records  []Record `json:"records"`
	Earliest int64    `json:"earliest"`
	Next     int64    `json:"next"`
}

// A TrimmedError is returned when retention has removed the records requested.
type TrimmedError struct {
	Stream   string
	From     int64
	Earliest int64
}

// Error returns the offset requested and the earliest one available.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d was trimmed, the earliest kept is %d", e.Stream, e.From, e.Earliest)
}
