package journal

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxRecordBytes is the largest record that the log service takes.
const MaxRecordBytes = 1 << 20

// ErrUnavailable says that the log service could not be asked, so that nothing is known of the call's effect.
var ErrUnavailable = errors.New("log service unavailable")

// ErrNewerFormat says that a record was written by a newer version of a program.
var ErrNewerFormat = errors.New("record is of a newer format")

// A Record is one entry of a stream, at the offset the log service gave it.
type Record struct {
	Offset int64           `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// A Batch is what one read returned: records in offset order, the oldest offset still kept and the offset to read next.
type Batch struct {
	Records  []Record `json:"records"`
	Earliest int64    `json:"earliest"`
	Next     int64    `json:"next"`
}

// A TrimmedError says that retention has removed the records that a read asked for.
type TrimmedError struct {
	Stream   string
	From     int64
	Earliest int64
}

// Error returns what was asked and what is left.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: offset %d was trimmed, the earliest kept is %d", e.Stream, e.From, e.Earliest)
}
