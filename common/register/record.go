package register

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/targets"
)

// StreamName is the name of the configuration stream.
const StreamName = "targets"

// LatestFormat is the newest record format that this version reads; adding a field increments it,
// as unknown fields are refused.
const LatestFormat = 1

// A RecordKind is the kind of a record of the configuration stream.
type RecordKind string

// The kinds of records.
const (
	ChangeRecord     RecordKind = "change"
	CheckpointRecord RecordKind = "checkpoint"
)

// A Patch holds the entries that a change sets, by name; a nil value deletes the entry.
type Patch struct {
	Classes    map[string]*targets.Class     `json:"classes,omitempty"`
	Workspaces map[string]*targets.Workspace `json:"workspaces,omitempty"`
	Models     map[string]*targets.Model     `json:"models,omitempty"`
}

// A Change is a patch against a base revision, for optimistic concurrency control.
type Change struct {
	ID           string `json:"id"`
	BaseRevision int64  `json:"base"`
	Operator     string `json:"operator,omitempty"`
	Patch        Patch  `json:"patch"`
}

// A Checkpoint is the state after every record with an offset below NextOffset.
type Checkpoint struct {
	NextOffset int64 `json:"through"`
	State      State `json:"state"`
}

// A Record is one record of the configuration stream.
type Record struct {
	Format     int         `json:"format"`
	Kind       RecordKind  `json:"kind"`
	Change     *Change     `json:"change,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

// Encode returns the record as JSON in the newest format.
func (r Record) Encode() (json.RawMessage, error) {
	r.Format = LatestFormat
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode %s record: %w", r.Kind, err)
	}
	return data, nil
}

// DecodeRecord decodes a record. It returns an error if data is malformed or, wrapping
// journal.ErrNewerFormat, if its format is newer than LatestFormat.
func DecodeRecord(data []byte) (Record, error) {
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	if header.Format > LatestFormat {
		return Record{}, fmt.Errorf("decode record: %w: %d", journal.ErrNewerFormat, header.Format)
	}
	var record Record
	if err := DecodeStrict(data, &record); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	switch {
	case record.Format != LatestFormat:
		return Record{}, fmt.Errorf("decode record: format %d is unknown", record.Format)
	case record.Kind == ChangeRecord && record.Change != nil && record.Change.ID != "":
		return record, nil
	case record.Kind == CheckpointRecord && record.Checkpoint != nil:
		return record, nil
	}
	return Record{}, fmt.Errorf("decode record: kind %q is unknown or has no content", record.Kind)
}

// DecodeStrict decodes JSON into v and returns an error for unknown fields or trailing data.
func DecodeStrict(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return err
	}
	// More says nothing of a closing brace or bracket.
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the end of the JSON value")
	}
	return nil
}
