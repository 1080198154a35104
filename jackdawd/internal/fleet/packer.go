package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"sync"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

// mostPackedBytes bounds what another host passes on packed, once it is unpacked.
const mostPackedBytes = 64 << 20

// packer packs what is passed on whole, each version once for all followers: 60 KB of
// configuration become 4 KB, which four followers get over a link of 10 Mbit/s in
// 15 ms instead of 0.2 s.
type packer[V comparable] struct {
	mu      sync.Mutex
	version V
	packed  []byte
}

// pack returns a version packed; content gives what is packed if it was not before.
func (p *packer[V]) pack(version V, content func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.version == version {
		return p.packed, nil
	}
	plain, err := content()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if _, err := w.Write(plain); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	p.version, p.packed = version, out.Bytes()
	return p.packed, nil
}

// unpack returns what was packed.
func unpack(packed []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostPackedBytes))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	return plain, nil
}

// packUpstreams returns all upstreams at a position packed.
func packUpstreams(p *packer[membership.Position], at membership.Position, entries []traffic.UpstreamEntry) ([]byte, error) {
	return p.pack(at, func() ([]byte, error) {
		var plain bytes.Buffer
		if err := gob.NewEncoder(&plain).Encode(entries); err != nil {
			return nil, fmt.Errorf("encode upstreams: %w", err)
		}
		return plain.Bytes(), nil
	})
}

func unpackUpstreams(packed []byte) ([]traffic.UpstreamEntry, error) {
	plain, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	var entries []traffic.UpstreamEntry
	if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(&entries); err != nil {
		return nil, fmt.Errorf("decode upstreams: %w", err)
	}
	return entries, nil
}
