package ledger

import (
	"encoding/json"
	"errors"
	"fmt"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/peers"
)

// LatestFormat is the newest record format that this version reads and the one it writes.
const LatestFormat = 1

// A RecordKind is the kind of a record in a claim stream.
type RecordKind string

// The record kinds.
const (
	// ClaimRecord claims a key.
	ClaimRecord RecordKind = "claim"
	// VoidRecord withdraws a claim whose request was not and will not be executed.
	VoidRecord RecordKind = "void"
	// OutcomeRecord states that a claim's request finished, or may have.
	OutcomeRecord RecordKind = "outcome"
)

// A Record is one record of a claim stream.
type Record struct {
	Format int        `json:"format"`
	Kind   RecordKind `json:"kind"`
	// Claim is the claim's ID; Key and Body are hashes of the idempotency key and the request.
	Claim string `json:"claim"`
	Key   string `json:"key"`
	Body  string `json:"body,omitempty"`
	// Seen is the offset up to which the claimant's host had read the stream when it found the
	// key free.
	Seen  int64            `json:"seen,omitempty"`
	State peers.ClaimState `json:"state,omitempty"`
	// Answer is the JSON of the response if it is small enough to store.
	Answer []byte `json:"answer,omitempty"`
}

// Encode returns the record as JSON in the latest format.
func (r Record) Encode() (json.RawMessage, error) {
	r.Format = LatestFormat
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode %s record: %w", r.Kind, err)
	}
	return data, nil
}

// DecodeRecord returns the record in data, or an error if it is malformed or of a newer format.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode record: %w", err)
	}
	if r.Format > LatestFormat {
		return Record{}, fmt.Errorf("decode record: %w: %d", journal.ErrNewerFormat, r.Format)
	}
	if r.Format != LatestFormat || r.Claim == "" || r.Key == "" {
		return Record{}, errors.New("decode record: format, claim or key is missing")
	}
	switch r.Kind {
	case ClaimRecord, VoidRecord:
		return r, nil
	case OutcomeRecord:
		if r.State == peers.Finished || r.State == peers.Uncertain {
			return r, nil
		}
		return Record{}, fmt.Errorf("decode record: unknown outcome %q", r.State)
	}
	return Record{}, fmt.Errorf("decode record: unknown kind %q", r.Kind)
}
